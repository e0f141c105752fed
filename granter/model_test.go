package granter_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/citronpier/citronpier/granter"
)

const (
	callTimeout    = 100 * time.Millisecond
	relayTimeout   = 60 * time.Millisecond
	requestTimeout = 250 * time.Millisecond
	suspicion      = 500 * time.Millisecond
	relaySuspicion = 100 * time.Millisecond
	refillGap      = 50 * time.Millisecond
	retryHome      = 300 * time.Millisecond
	tick           = 100 * time.Millisecond
	// boot is the virtual time at which a run begins.
	boot = time.Hour
)

// event is something that happens on a host, which a frozen host does when it wakes. A host
// that was restarted since does not do it. host is -1 for the world.
type event struct {
	at    time.Duration
	order int
	host  int
	run   int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// network is what happens to messages: the chance that one is lost, arrives twice or is late.
type network struct{ lost, doubled, late float64 }

// model is hosts and one organisation in virtual time.
type model struct {
	random  *rand.Rand
	now     time.Duration
	queue   events
	order   int
	hosts   []*host
	ranking []int
	network network
	// unlimited lets every request pass, to show that the check of windows fails then.
	unlimited bool
	sent      []time.Duration
	// kind is the kind of the requests that load sends.
	kind     granter.Kind
	messages int
}

// host is one host of the model.
type host struct {
	*model
	id, run    int
	down       bool
	frozen     time.Duration
	group      int
	sees       []bool
	stable     time.Duration
	continuity granter.Continuity
	terms      granter.Terms
	pool       *granter.Pool
	home       *granter.Home
	number     int64
	suspects   map[int]time.Duration
	waiting    []*request
	calling    bool
	called     time.Duration
}

// request is one request of a caller at a host. done is called with the verdict, which is nil
// if no home was reached.
type request struct {
	kind     granter.Kind
	deadline time.Duration
	done     func(granter.Verdict)
	over     bool
}

func newModel(seed uint64, hosts int, terms granter.Terms) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b9)), now: boot}
	m.ranking = m.random.Perm(hosts)
	for i := range hosts {
		h := &host{model: m, id: i, terms: terms, sees: make([]bool, hosts)}
		for j := range h.sees {
			h.sees[j] = true
		}
		m.hosts = append(m.hosts, h)
		h.start()
	}
	return m
}

// start starts a run of the host, which has forgotten everything.
func (h *host) start() {
	h.run++
	h.down, h.calling, h.frozen = false, false, 0
	h.pool, h.home = &granter.Pool{}, &granter.Home{}
	h.continuity, h.stable = granter.Continuity{}, h.now
	h.suspects, h.waiting = make(map[int]time.Duration), nil
	h.tick()
}

func (h *host) tick() {
	h.continuity = h.continuity.WithTick(h.now)
	h.home.Tick(h.terms, h.standing(), h.now)
	h.after(tick, h.tick)
}

// between returns a random time.
func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

func (m *model) push(after time.Duration, host, run int, do func()) {
	m.order++
	heap.Push(&m.queue, event{at: m.now + after, order: m.order, host: host, run: run, do: do})
}

// after schedules what the host does, and afterAll what the world does.
func (h *host) after(d time.Duration, do func())     { h.push(d, h.id, h.run, do) }
func (m *model) afterAll(d time.Duration, do func()) { m.push(d, -1, 0, do) }

// runUntil runs the model until the given time after its beginning.
func (m *model) runUntil(end time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= boot+end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		if e.host < 0 {
			e.do()
			continue
		}
		h := m.hosts[e.host]
		if h.down || h.run != e.run {
			continue
		}
		if h.frozen > m.now {
			m.push(h.frozen-m.now, e.host, e.run, e.do)
			continue
		}
		e.do()
	}
	m.now = boot + end
}

// reaches reports whether messages pass between two hosts.
func (m *model) reaches(a, b int) bool {
	return !m.hosts[a].down && !m.hosts[b].down && m.hosts[a].group == m.hosts[b].group
}

// seen reports whether a host answers another one now.
func (m *model) seen(a, b int) bool { return m.reaches(a, b) && m.hosts[b].frozen <= m.now }

// detect lets each host find out about each other within the given times.
func (m *model) detect(low, high time.Duration) {
	for i, h := range m.hosts {
		for j := range m.hosts {
			if i != j && !h.down {
				h.after(m.between(low, high), func() { h.observe(j) })
			}
		}
	}
}

func (h *host) observe(j int) {
	if h.sees[j] == h.seen(h.id, j) {
		return
	}
	h.sees[j] = !h.sees[j]
	h.stable = h.now
	h.home.Tick(h.terms, h.standing(), h.now)
}

// ranked returns the hosts that the host takes for live, those it suspects last.
func (h *host) ranked() []int {
	var live, suspected []int
	for _, j := range h.ranking {
		switch {
		case !h.sees[j] && j != h.id:
		case h.suspects[j] > h.now:
			suspected = append(suspected, j)
		default:
			live = append(live, j)
		}
	}
	return append(live, suspected...)
}

// first returns the home in the host's view.
func (h *host) first() int {
	for _, j := range h.ranking {
		if h.sees[j] || j == h.id {
			return j
		}
	}
	return h.id
}

func (h *host) standing() granter.Standing {
	live := 0
	for j, sees := range h.sees {
		if sees || j == h.id {
			live++
		}
	}
	return granter.Standing{
		Home: h.first() == h.id, Live: live, Registered: len(h.hosts), First: h.sees[0] || h.id == 0,
		Resumed: h.continuity.Since(), Stable: h.stable,
	}
}

// post delivers a message to a host.
func (m *model) post(from, to int, do func(*host)) {
	m.messages++
	copies := 1
	if m.random.Float64() < m.network.lost {
		copies = 0
	}
	if m.random.Float64() < m.network.doubled {
		copies++
	}
	for range copies {
		delay := m.between(300*time.Microsecond, 2*time.Millisecond)
		if m.random.Float64() < m.network.late {
			delay = m.between(delay, 3*time.Second)
		}
		h, run := m.hosts[to], m.hosts[to].run
		m.push(delay, to, run, func() {
			if from == to || m.hosts[from].group == h.group {
				do(h)
			}
		})
	}
}
