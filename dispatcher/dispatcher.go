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

// Config holds the dependencies of a Dispatcher.
type Config struct {
	// Engine runs model calls.
	Engine connector.Engine
	// Service runs calls of all other services.
	Service connector.Service
	// Members returns the newest service-discovery list.
	Members func() descriptor.Members
	// Refresh reads the service-discovery list again if the last copy is too old.
	Refresh func(ctx context.Context)
	// MembershipStable reports whether the set of live hosts has not changed
	// recently. While it returns true, all hosts agree on the home of each upstream.
	MembershipStable func() bool
	// IsHome reports whether this host is now the home of an upstream.
	IsHome func(descriptor.Upstream) bool
	// Rules returns the operator's rules in force.
	Rules func() parser.Rules
	// Order is the queueing discipline; nil means scheduler.Fair.
	Order scheduler.Discipline
	// Clock returns the current time.
	Clock    func() time.Time
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Dispatcher queues calls and runs them on the upstreams whose home is this
// host. It is safe for concurrent use.
type Dispatcher struct {
	config Config

	mu sync.Mutex
	// queues is keyed by upstream ID; entries are made on first use.
	queues map[string]*upstreamQueue
}

// New returns a Dispatcher with no upstream queues.
func New(c Config) *Dispatcher {
	return &Dispatcher{config: c, queues: make(map[string]*upstreamQueue)}
}

// Run queues a call, sends it to the upstream once it is granted a slot, and
// emits the response as frames. The last frame is an End, a Reply or a Fault.
// Run returns an error if the call is not admitted or is cancelled, or if emit
// fails. It refuses a request that may crash the upstream with the reason Home if
// another host is home of the upstream.
func (d *Dispatcher) Run(ctx context.Context, req *messenger.DispatchRequest, emit func(*messenger.Frame) error) error {
	q, ok := d.queue(req.GetUpstream())
	if !ok {
		return refuser.New(refuser.Upstream, "upstream %s is not listed", req.GetUpstream())
	}
	if req.GetAlone() {
		release, err := d.isolate(ctx, q)
		if err != nil {
			return err
		}
		defer release()
	}
	item := d.newItem(req)
	granted, err := q.enqueue(item, d.config.Rules().Floor(), 0, item.Queued)
	if err != nil {
		return err
	}
	defer q.remove(item)
	if err := awaitSlot(ctx, granted); err != nil {
		return err
	}
	d.config.Refresh(ctx)
	if q.currentUpstream().Leaving {
		return refuser.New(refuser.Upstream, "upstream %s is leaving", req.GetUpstream())
	}
	d.config.Counters.Reached(counter.StageDispatched)
	a := attempt{
		dispatcher: d, queue: q, req: req, emit: emit, started: d.config.Clock(),
		isolated: req.GetAlone() && d.isSoleHome(q.currentUpstream()),
	}
	return a.run(ctx)
}

// Loads returns the load of every upstream that this host has dispatched to.
func (d *Dispatcher) Loads() []*messenger.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make([]*messenger.Load, 0, len(d.queues))
	for _, q := range d.queues {
		loads = append(loads, q.load())
	}
	return loads
}

// Update applies a newer service-discovery list. An upstream that is no longer
// listed is treated as leaving.
func (d *Dispatcher) Update(m descriptor.Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, q := range d.queues {
		u, listed := m.Upstream(id)
		if !listed {
			u = q.currentUpstream().WithLeaving(true)
		}
		q.setUpstream(u)
	}
}

// queue returns the queue of an upstream, and makes it on first use. It returns
// false if the upstream is not listed.
func (d *Dispatcher) queue(upstream string) (*upstreamQueue, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q, ok := d.queues[upstream]; ok {
		return q, true
	}
	u, ok := d.config.Members().Upstream(upstream)
	if !ok {
		return nil, false
	}
	q := newUpstreamQueue(u, d.config.Order)
	d.queues[upstream] = q
	return q, true
}

// newItem returns the queue entry for a request.
func (d *Dispatcher) newItem(req *messenger.DispatchRequest) *scheduler.Item {
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

// isolate waits until a request that is suspected of crashing upstreams can run as
// the only such request on its upstream. It waits for the upstream's isolation
// semaphore, and then, for at most settledTimeout, until no other host considers
// itself home of the upstream. If another host is home then, isolate returns a
// refusal: the semaphore of this host does not keep that host's requests away.
func (d *Dispatcher) isolate(ctx context.Context, q *upstreamQueue) (release func(), err error) {
	release, err = q.acquireIsolation(ctx)
	if err != nil {
		return nil, err
	}
	deadline := d.config.Clock().Add(settledTimeout)
	for !d.config.MembershipStable() && d.config.Clock().Before(deadline) && ctx.Err() == nil {
		waiter.Sleep(ctx, settledPollInterval)
	}
	u := q.currentUpstream()
	if d.config.MembershipStable() && !d.config.IsHome(u) {
		release()
		return nil, refuser.New(refuser.Home, "another host is home of upstream %s", u.ID)
	}
	return release, nil
}

// isSoleHome reports whether this host, and no other, considers itself home of an
// upstream.
func (d *Dispatcher) isSoleHome(u descriptor.Upstream) bool {
	return d.config.MembershipStable() && d.config.IsHome(u)
}

const (
	// settledPollInterval is the time between two checks of Config.MembershipStable.
	settledPollInterval = 100 * time.Millisecond
	// settledTimeout is how long a request that may crash its upstream waits
	// until Config.MembershipStable returns true. After that time, the request runs
	// even if the membership is not stable. It is longer than a host is suspected
	// after one failure and the membership then takes to settle, together 5 s.
	settledTimeout = 6 * time.Second
)

// awaitSlot waits until the queue closes granted, which gives the call a slot.
func awaitSlot(ctx context.Context, granted <-chan struct{}) error {
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return refuser.New(refuser.Cancelled, "cancelled before it was sent")
	}
}
