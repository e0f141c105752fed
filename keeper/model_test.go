package keeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/standin"
)

// maxTries is how often a caller tries a turn.
const maxTries = 3

// slowStore is one host's client of the store. Its calls hang while the host is paused.
type slowStore struct {
	connector.Store
	model *model
	host  *modelHost
}

// modelHost is one incarnation of a host.
type modelHost struct {
	keeper *keeper.Keeper
	kill   context.CancelFunc
	mu     sync.Mutex
	// resumed is closed when the pause ends; nil if the host is not paused.
	resumed chan struct{}
	dead    bool
}

func (h *modelHost) awaitResume() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (h *modelHost) pause(d time.Duration) {
	resumed := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed != nil {
		return
	}
	h.resumed = resumed
	time.AfterFunc(d, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.resumed = nil
		close(resumed)
	})
}

// call simulates the way to the store and back.
func (s slowStore) call(run func()) {
	s.host.awaitResume()
	time.Sleep(s.model.latency())
	run()
	if s.model.isOut() {
		time.Sleep(300 * time.Millisecond)
	}
	s.host.awaitResume()
}

func (s slowStore) Append(ctx context.Context, p connector.Partition, records [][]byte, at int64) (a connector.Appended, err error) {
	s.call(func() { a, err = s.Store.Append(ctx, p, records, at) })
	return a, err
}

func (s slowStore) Read(ctx context.Context, p connector.Partition, from int64, wait time.Duration) (r connector.Records, err error) {
	s.call(func() { r, err = s.Store.Read(ctx, p, from, wait) })
	return r, err
}

// modelProgram is one program and what was handed to its caller.
type modelProgram struct {
	id     string
	budget int64
	handed int64
	// sessions is the number of sessions that run turns at the same time.
	sessions int
	// loops is set if the program runs turns until its budget is spent.
	loops bool
	turns int
	// unfinished counts the sessions that gave up before their last turn.
	unfinished int
}

// isFrugal reports whether a program needs at most half of its budget, even if each of its turns
// is counted at its maximum.
func (p *modelProgram) isFrugal() bool {
	return !p.loops && int64(2*p.sessions*p.turns*maxTokens) <= p.budget
}

// model is a shard, its homes and the callers, driven by one seed.
type model struct {
	f   *fixture
	ctx context.Context
	// long is set if events lie minutes apart.
	long bool
	// quiet is set if there is one outage only, beside which one host may die. All callers know
	// the home, and no turn is retained.
	quiet bool
	// split is how rarely a caller takes another host for the home.
	split int

	mu      sync.Mutex
	random  *rand.Rand
	out     bool
	hosts   []*modelHost
	started int
}

func (m *model) intn(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

func (m *model) latency() time.Duration { return time.Duration(1+m.intn(15)) * time.Millisecond }

func (m *model) isOut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.out
}

// fault loses some calls and answers on calm days, and nearly everything in an outage.
func (m *model) fault(standin.Call) standin.Effect {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch n := m.random.IntN(100); {
	case m.out && n < 4:
		return standin.LoseResponse
	case m.out && n < 8:
		return standin.DelayAppend
	case m.out:
		return standin.LoseCall
	case n < 2:
		return standin.LoseResponse
	case n < 3:
		return standin.DelayAppend
	case n < 4:
		return standin.LoseCall
	default:
		return standin.Done
	}
}

func (m *model) startHost() *modelHost {
	ctx, cancel := context.WithCancel(m.ctx)
	h := &modelHost{kill: cancel}
	m.mu.Lock()
	m.started++
	name := fmt.Sprint("host", m.started)
	m.mu.Unlock()
	h.keeper = keeper.New(ctx, keeper.Config{
		Incarnation: name, Store: slowStore{m.f.store.Host(name), m, h}, Partitions: partitions[:1], RecordBytes: 1 << 10,
		Retention:      time.Hour,
		Home:           func(int, time.Time) bool { return m.considersItselfHome(h) },
		StoreReachable: func(time.Time) bool { return true },
		Search:         func(context.Context, string, []int) ([]byte, bool, bool) { return nil, false, true },
		Counters:       &counter.Set{}, Logger: zerolog.Nop(),
	})
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			h.awaitResume()
			if ctx.Err() == nil {
				h.keeper.Tick(time.Now())
			}
		}
	}()
	return h
}

// considersItselfHome reports what a host's own view of the membership says. While events are
// close together, the views of all hosts are behind.
func (m *model) considersItselfHome(h *modelHost) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.long || m.hosts[0] == h
}

// replace starts a host that takes the place of the host at i, which dies if kill is set.
func (m *model) replace(i int, kill bool) {
	next := m.startHost()
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.hosts[i]; kill {
		old.mu.Lock()
		old.dead = true
		old.mu.Unlock()
		old.kill()
	}
	m.hosts[i] = next
}

// pick returns the host that callers take for the home. One time in split it is any.
func (m *model) pick() *modelHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.quiet && m.random.IntN(m.split) == 0 {
		return m.hosts[m.random.IntN(len(m.hosts))]
	}
	return m.hosts[0]
}

// disturb carries out one random event.
func (m *model) disturb() {
	switch m.intn(8) {
	case 0:
		m.replace(0, true)
	case 1:
		m.pick().pause(m.scaled(time.Duration(500+m.intn(6000)) * time.Millisecond))
	case 2:
		m.mu.Lock()
		m.hosts[0], m.hosts[1] = m.hosts[1], m.hosts[0]
		m.mu.Unlock()
	case 3:
		for i := range 2 {
			m.replace(i, true)
		}
	case 4:
		m.pick().keeper.Release()
	case 5:
		m.f.store.RunDelayed()
	default:
		m.setOut(true)
		time.AfterFunc(time.Duration(3000+m.intn(4001))*time.Millisecond, func() { m.setOut(false) })
	}
}

// isQuiet reports whether the model of a seed is quiet.
func isQuiet(seed uint64) bool { return seed%4 == 1 }

// disturbOnce carries out the events of a quiet seed.
func (m *model) disturbOnce() {
	if m.intn(2) == 0 {
		time.AfterFunc(time.Duration(m.intn(15000))*time.Millisecond, func() { m.replace(0, true) })
	}
	time.Sleep(time.Duration(2000+m.intn(6000)) * time.Millisecond)
	m.setOut(true)
	time.Sleep(time.Duration(3000+m.intn(4001)) * time.Millisecond)
	m.setOut(false)
}

func (m *model) setOut(out bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.out = out
}

// scaled returns a duration that suits the distance of events.
func (m *model) scaled(d time.Duration) time.Duration {
	if m.long {
		return 20 * d
	}
	return d
}
