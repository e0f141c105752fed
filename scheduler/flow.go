package scheduler

// flow holds the waiting calls of one organisation in one rank.
type flow struct {
	organisation string
	// virtualFinish is the virtual finish time of the flow's last served call. It is
	// also the virtual start time of the flow's next call (start-time fair queueing;
	// Goyal, Vin and Cheng, 1996).
	virtualFinish float64
	// items holds the calls; the next call to serve is on top.
	items indexedHeap[*Item]
	// index is the position in class.waiting; -1 while the flow has no items.
	index int
	class *class
}

// before orders flows by the virtual start time of their next call, and flows with
// equal start times by organisation.
func (f *flow) before(other *flow) bool {
	if f.virtualFinish != other.virtualFinish {
		return f.virtualFinish < other.virtualFinish
	}
	return f.organisation < other.organisation
}

func (f *flow) setIndex(index int) { f.index = index }

// class holds the waiting calls of one rank.
type class struct {
	// flows holds, by organisation, the flows that have items, and the empty flows
	// whose virtualFinish is still ahead of virtualTime.
	flows map[string]*flow
	// waiting holds the flows that have items; the next flow to serve is on top.
	waiting indexedHeap[*flow]
	// virtualTime is the virtual start time of the call that was served last.
	virtualTime float64
	// length is the number of items in all flows.
	length int
}

// push adds an item to the flow of its organisation. A flow that was empty may
// not claim service for the time in which it had no items: its virtualFinish is
// raised to the class's virtualTime.
func (c *class) push(i *Item) {
	f := c.flow(i.Organisation)
	i.flow = f
	f.items.add(i)
	c.length++
	if f.items.Len() == 1 {
		f.virtualFinish = max(f.virtualFinish, c.virtualTime)
		c.waiting.add(f)
	}
}

// flow returns the flow of an organisation, and makes it if there is none.
func (c *class) flow(organisation string) *flow {
	f, ok := c.flows[organisation]
	if ok {
		return f
	}
	if c.flows == nil {
		c.flows = make(map[string]*flow)
	}
	f = &flow{organisation: organisation, index: -1, class: c}
	c.flows[organisation] = f
	return f
}

// pop removes and returns the next item to serve and charges its cost, divided
// by the organisation's weight, to its flow. The class must not be empty.
func (c *class) pop() *Item {
	f := c.waiting.top()
	i := f.items.top()
	c.virtualTime = f.virtualFinish
	f.virtualFinish += i.cost() / i.weight()
	c.remove(i)
	return i
}

// remove takes a waiting item out of its flow.
func (c *class) remove(i *Item) {
	f := i.flow
	f.items.removeAt(i.index)
	c.length--
	switch {
	case f.items.Len() == 0:
		c.waiting.removeAt(f.index)
		c.dropFlow(f)
	default:
		c.waiting.reorderAt(f.index)
	}
}

// dropFlow deletes an empty flow, unless its virtualFinish is still ahead of the
// virtual time: the organisation has then received service in advance, so its next
// call must be served later. Once the class is empty, all flows are deleted, and virtual
// time restarts at 0.
func (c *class) dropFlow(f *flow) {
	if f.virtualFinish <= c.virtualTime {
		delete(c.flows, f.organisation)
	}
	if c.length == 0 {
		c.flows = nil
		c.virtualTime = 0
	}
}
