package admitter_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/citronpier/citronpier/admitter"
)

const (
	hosts, centres, engines = 31, 3, 56
	slots, maxQueue, events = 12, 36, 20
	// readTime is the time for 2,000 tokens of a prompt that are not cached.
	readTime = 2000 * time.Millisecond / 170
	// reportAge is the age of load reports, and drainTime the time after the last program began.
	reportAge = 150 * time.Millisecond
	// loadAge is the age up to which a host uses a load again.
	loadAge   = 200 * time.Millisecond
	drainTime = 40 * time.Second
	service   = "s"
)

// day is what a simulation plays.
type day struct {
	// token is the time of a token on an idle engine, and growth how much longer it takes on
	// an engine with all slots in use, relative to that.
	token  time.Duration
	growth float64
	// From from to to, users times the usual programs begin, the share gone of the engines is
	// gone, and the share slow runs at half speed. No program begins after length.
	from, to, length  time.Duration
	users, gone, slow float64
	// admission is false for hosts that admit everything.
	admission bool
	seed      uint64
}

// action is what happens at a time. Actions at the same time happen in their order.
type action struct {
	at    time.Duration
	order int
	do    func()
}

// agenda is a heap of actions.
type agenda []action

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a *agenda) Push(x any) { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// engine runs up to slots turns and queues up to maxQueue further ones.
type engine struct {
	running int
	waiting []*turn
	gone    bool
	speed   float64
}

// host is one entry host, with the load that it knows.
type host struct {
	admitter           *admitter.Admitter
	inFlight, reported [engines]int
	unanswered         map[*turn]bool
	// load was measured at loadAt.
	load   admitter.Load
	loadAt time.Duration
}

// turn is one turn at an engine.
type turn struct {
	host        *host
	engine      int
	route       string
	sent, began time.Duration
	idle        bool
	ended       func()
}

// simulation plays a day in virtual time.
type simulation struct {
	day
	now     time.Duration
	agenda  agenda
	order   int
	random  *rand.Rand
	hosts   []*host
	engines [engines]*engine
	results map[string]*result
	ids     int
}

func (s *simulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.agenda, action{s.now + d, s.order, do})
}

func (s *simulation) time() time.Time { return time.Unix(1, 0).Add(s.now) }

// load returns the load of the engines as a host knows it: it hears only its own data centre.
func (s *simulation) load(h *host) admitter.Load {
	if h.loadAt > 0 && s.now-h.loadAt < loadAge {
		return h.load
	}
	var l admitter.Load
	for e := range engines {
		if !s.engines[e].gone {
			l.Slots += slots
			l.InFlight += (h.inFlight[e] + h.reported[e]) * centres
		}
	}
	limit := h.admitter.Bearable(service)
	for t := range h.unanswered {
		if s.now-t.sent > limit+readTime {
			l.Overdue++
		}
	}
	h.load, h.loadAt = l, s.now
	return l
}

// report tells all hosts the load that the other hosts of their data centre had before.
func (s *simulation) report() {
	for i, h := range s.hosts {
		var sum [engines]int
		for j, other := range s.hosts {
			if i == j || i%centres != j%centres {
				continue
			}
			for e, n := range other.inFlight {
				sum[e] += n
			}
		}
		s.after(reportAge/2, func() { h.reported = sum })
	}
	s.after(reportAge/2, s.report)
}

// choose returns the best of some engines that were not tried, as the host knows them.
func (s *simulation) choose(h *host, tried map[int]bool) (best int, found bool) {
	const candidates = 6
	for range candidates {
		e := s.random.IntN(engines)
		if s.engines[e].gone || tried[e] {
			continue
		}
		if !found || h.inFlight[e]+h.reported[e] < h.inFlight[best]+h.reported[best] {
			best, found = e, true
		}
	}
	return best, found
}

// send sends a turn to an engine. It returns false if the engines that were tried are full.
func (s *simulation) send(h *host, route string, ended func()) bool {
	const attempts = 4
	tried := make(map[int]bool)
	for range attempts {
		i, ok := s.choose(h, tried)
		if !ok {
			return false
		}
		e := s.engines[i]
		if e.running >= slots && len(e.waiting) >= maxQueue {
			tried[i] = true
			h.admitter.ObserveFull(service, s.time())
			continue
		}
		t := &turn{host: h, engine: i, route: route, sent: s.now, idle: 2*(h.inFlight[i]+h.reported[i]) <= slots, ended: ended}
		h.inFlight[i]++
		h.unanswered[t] = true
		e.waiting = append(e.waiting, t)
		s.beginNext(e)
		return true
	}
	return false
}

// beginNext begins the first waiting turn of an engine with a free slot.
func (s *simulation) beginNext(e *engine) {
	if e.running >= slots || len(e.waiting) == 0 {
		return
	}
	t := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.running++
	s.after(readTime, func() { s.step(t, 0) })
}

// step plays one event of a turn.
func (s *simulation) step(t *turn, event int) {
	e := s.engines[t.engine]
	switch event {
	case 1:
		t.began = s.now
		delete(t.host.unanswered, t)
		t.host.admitter.ObserveStart(service, s.now-t.sent-readTime, t.idle, s.time())
	case events:
		e.running--
		t.host.inFlight[t.engine]--
		t.host.admitter.ObserveEnd(admitter.Turn{
			Service: service, Route: t.route, Took: s.now - t.sent, Interval: (s.now - t.began) / (events - 1), Idle: t.idle,
		}, s.time())
		s.beginNext(e)
		t.ended()
		return
	}
	took := float64(s.token) * (1 + s.growth*float64(e.running-1)/(slots-1)) / e.speed
	s.after(time.Duration(took), func() { s.step(t, event+1) })
}

// change takes engines away and slows others down. Engines that are gone end their turns.
func (s *simulation) change(gone, slow float64) {
	for i, e := range s.engines {
		place := float64(i) / engines
		e.gone, e.speed = place < gone, 1
		if place >= 1-slow {
			e.speed = 0.5
		}
	}
}

// simulate plays a day and returns what callers got, by kind.
func simulate(d day) map[string]*result {
	s := &simulation{day: d, random: rand.New(rand.NewPCG(d.seed, 1)), results: make(map[string]*result)}
	for range hosts {
		s.hosts = append(s.hosts, &host{admitter: &admitter.Admitter{}, unanswered: make(map[*turn]bool)})
	}
	for i := range engines {
		s.engines[i] = &engine{speed: 1}
	}
	for _, k := range kinds {
		s.results[k.name] = &result{}
		s.after(0, func() { s.arrive(k) })
	}
	s.after(d.from, func() { s.change(d.gone, d.slow) })
	s.after(d.to, func() { s.change(0, 0) })
	s.report()
	for s.now < d.length+drainTime {
		next := heap.Pop(&s.agenda).(action)
		s.now = next.at
		next.do()
	}
	return s.results
}
