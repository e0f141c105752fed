package scheduler

// flow is the waiting work of one organisation in one rank.
type flow struct {
	organisation string
	// finish is the virtual time at which the service given so far ends
	// (start-time fair queueing, Goyal, Vin and Cheng 1996).
	finish float64
	items  ordered[*Item]
	index  int
	class  *class
}

func (f *flow) before(other *flow) bool {
	if f.finish != other.finish {
		return f.finish < other.finish
	}
	return f.organisation < other.organisation
}

func (f *flow) moved(index int) { f.index = index }

// class is the waiting work of one rank.
type class struct {
	// flows holds every organisation that waits or has waited.
	flows map[string]*flow
	// waiting holds the flows that have items.
	waiting ordered[*flow]
	// virtual is the virtual time of the rank.
	virtual float64
	length  int
}

func (c *class) push(i *Item) {
	f := c.flow(i.Organisation)
	i.flow = f
	f.items.add(i)
	c.length++
	if f.items.Len() == 1 {
		f.finish = max(f.finish, c.virtual)
		c.waiting.add(f)
	}
}

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

func (c *class) pop() *Item {
	f := c.waiting.top()
	i := f.items.top()
	c.virtual = f.finish
	f.finish += i.cost() / i.weight()
	c.remove(i)
	return i
}

func (c *class) remove(i *Item) {
	f := i.flow
	f.items.removeAt(i.index)
	c.length--
	switch {
	case f.items.Len() == 0:
		c.waiting.removeAt(f.index)
		c.forget(f)
	default:
		c.waiting.reorderAt(f.index)
	}
}

// forget drops a flow whose service the others have caught up with.
func (c *class) forget(f *flow) {
	if f.finish <= c.virtual {
		delete(c.flows, f.organisation)
	}
	if c.length == 0 {
		c.flows = nil
		c.virtual = 0
	}
}
