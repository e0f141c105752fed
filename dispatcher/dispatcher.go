package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/scheduler"
)

// Config is what a Dispatcher works with.
type Config struct {
	Engine  connector.Engine
	Service connector.Service
	Members func() descriptor.Members
	// Refresh reads the list again where the last answer is old.
	Refresh func(ctx context.Context)
	// Settled reports that no host has come or gone of late: a second home of
	// an upstream can't exist.
	Settled func() bool
	Rules   func() parser.Rules
	// Order is the order of service; nil is scheduler.Fair.
	Order    scheduler.Discipline
	Clock    func() time.Time
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Dispatcher runs attempts on the upstreams that the host is home for.
type Dispatcher struct {
	config Config

	mu    sync.Mutex
	lanes map[string]*lane
}

// New returns a Dispatcher without any lanes.
func New(c Config) *Dispatcher {
	return &Dispatcher{config: c, lanes: make(map[string]*lane)}
}

// Run queues an attempt, sends it when its turn comes and emits what the
// upstream answers. The last frame is an End, a Reply or a Fault.
func (d *Dispatcher) Run(ctx context.Context, req *messenger.DispatchRequest, emit func(*messenger.Frame) error) error {
	l, ok := d.lane(req.GetUpstream())
	if !ok {
		return refuser.New(refuser.Upstream, "upstream %s is not listed", req.GetUpstream())
	}
	if req.GetAlone() {
		release, err := d.isolate(ctx, l)
		if err != nil {
			return err
		}
		defer release()
	}
	item := d.item(req)
	turn, err := l.enter(item, d.config.Rules().Floor(), 0, item.Queued)
	if err != nil {
		return err
	}
	defer l.leave(item)
	if err := wait(ctx, turn); err != nil {
		return err
	}
	d.config.Refresh(ctx)
	if l.current().Leaving {
		return refuser.New(refuser.Upstream, "upstream %s is leaving", req.GetUpstream())
	}
	d.config.Counters.Reached(counter.StageDispatched)
	a := attempt{
		dispatcher: d, lane: l, req: req, emit: emit, began: d.config.Clock(),
		alone: req.GetAlone() && d.config.Settled(),
	}
	return a.run(ctx)
}

// Loads returns the load of every upstream that was given work.
func (d *Dispatcher) Loads() []*messenger.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make([]*messenger.Load, 0, len(d.lanes))
	for _, l := range d.lanes {
		loads = append(loads, l.load())
	}
	return loads
}

// Update applies a newer list of upstreams.
func (d *Dispatcher) Update(m descriptor.Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.lanes {
		u, listed := m.Upstream(id)
		if !listed {
			u = l.current().WithLeaving(true)
		}
		l.update(u)
	}
}

func (d *Dispatcher) lane(upstream string) (*lane, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.lanes[upstream]; ok {
		return l, true
	}
	u, ok := d.config.Members().Upstream(upstream)
	if !ok {
		return nil, false
	}
	l := newLane(u, d.config.Order)
	d.lanes[upstream] = l
	return l, true
}

func (d *Dispatcher) item(req *messenger.DispatchRequest) *scheduler.Item {
	rank, _ := descriptor.ParseRank(req.GetRank())
	return &scheduler.Item{
		Rank:         rank,
		Organisation: req.GetOrganisation(),
		Weight:       d.config.Rules().Weight(req.GetOrganisation()),
		Served:       req.GetServed(),
		Begun:        req.GetBegun(),
		Cost:         req.GetMaxTokens(),
		Queued:       d.config.Clock(),
	}
}

// isolate waits until a request that may crash its upstream is the only such
// one there: no other holds the place, and no other host can be home of it.
func (d *Dispatcher) isolate(ctx context.Context, l *lane) (release func(), err error) {
	release, err = l.isolate(ctx)
	if err != nil {
		return nil, err
	}
	until := d.config.Clock().Add(settledBudget)
	for !d.config.Settled() && d.config.Clock().Before(until) && ctx.Err() == nil {
		waiter.Sleep(ctx, settledEvery)
	}
	return release, nil
}

const (
	// settledEvery is the time between two looks whether the hosts are settled.
	settledEvery = 100 * time.Millisecond
	// settledBudget is how long a suspected request waits for that.
	settledBudget = 4 * time.Second
)

// wait waits until the call's turn comes.
func wait(ctx context.Context, turn <-chan struct{}) error {
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return refuser.New(refuser.Cancelled, "cancelled before it was sent")
	}
}
