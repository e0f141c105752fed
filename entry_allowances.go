package citronpier

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/granter"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
)

// AllowanceBounds are how exactly the hosts keep the allowances of organisations. In any window,
// the hosts together may exceed an allowance by Excess, a part of it, and by Slack requests.
type AllowanceBounds struct {
	Window        time.Duration
	Excess, Slack float64
}

const (
	// defaultAllowanceWindow is the window if AllowanceBounds.Window is 0.
	defaultAllowanceWindow = 5 * time.Second
	// allowanceCallTimeout bounds a call to the home of organisations, and allowanceWait the
	// time that a request waits for credit: one call that fails, and one to the next host.
	allowanceCallTimeout = 100 * time.Millisecond
	allowanceWait        = 250 * time.Millisecond
	// allowanceRelayTimeout bounds a call that is passed on within another one.
	allowanceRelayTimeout = 60 * time.Millisecond
	// allowanceSuspicion is how long a home is avoided after a call to it failed, and
	// allowanceRelaySuspicion how long no calls of other hosts are passed on to it.
	allowanceSuspicion      = 500 * time.Millisecond
	allowanceRelaySuspicion = 100 * time.Millisecond
	// allowanceRefill is the time between calls to a home while no request waits.
	allowanceRefill = 50 * time.Millisecond
	// allowanceTick is the time between two looks at the hosts. Ticks that are much later
	// mean that the host was paused.
	allowanceTick = 100 * time.Millisecond
	// allowancePruneAfter is how long the credits of an organisation without requests are
	// kept in mind.
	allowancePruneAfter = time.Minute
)

// NoOrganisationHomeError reports that a request got no answer of its organisation's home in its
// time.
type NoOrganisationHomeError struct{}

// Error implements the error interface.
func (*NoOrganisationHomeError) Error() string { return "no host answered as home" }

// allowancesConfig holds the dependencies of allowances.
type allowancesConfig struct {
	// Self is the id of this host, and Run its incarnation.
	Self, Run string
	Bounds    AllowanceBounds
	// Organisations returns the organisations of the configuration in force.
	Organisations func() descriptor.Organisations
	// Hosts returns the hosts that may be home of organisations.
	Hosts func(now time.Time) locator.View
	// Open returns the client of another host.
	Open func(h descriptor.Host) messenger.Allowances
	// Uptime returns the time since boot.
	Uptime func() time.Duration
	// Background is the context of calls. It ends when the host stops.
	Background context.Context
	Logger     zerolog.Logger
}

// allowances spends the credits of organisations on this host, and grants those of the
// organisations that the host is home of. It is safe for concurrent use.
type allowances struct {
	config allowancesConfig

	mu sync.Mutex
	// pools holds the credits of this host, and homes the buckets, by organisation.
	pools map[string]*allowancePool
	homes map[string]*granter.Home
	// batchers call the homes, by host id.
	batchers map[string]*homeBatcher
	// number is that of the last call.
	number int64
	// suspects and relaySuspects hold until when hosts are avoided.
	suspects, relaySuspects map[string]time.Time
	// registered is the number of hosts that the store lists, and first the lowest id.
	registered int
	first      string
	continuity granter.Continuity
	// members is a hash of the live hosts, and stable when it last changed.
	members uint64
	stable  time.Duration
	pruned  time.Duration
}

// allowancePool is the credits of an organisation on this host, and what became of its requests.
type allowancePool struct {
	granter.Pool
	taken, exceeded, unreached int64
}

func newAllowances(c allowancesConfig) *allowances {
	if c.Bounds.Window <= 0 {
		c.Bounds.Window = defaultAllowanceWindow
	}
	return &allowances{
		config: c, pools: make(map[string]*allowancePool), homes: make(map[string]*granter.Home),
		batchers: make(map[string]*homeBatcher),
		suspects: make(map[string]time.Time), relaySuspects: make(map[string]time.Time),
	}
}

// terms returns the allowance of an organisation.
func (a *allowances) terms(o descriptor.Organisation) granter.Terms {
	b := a.config.Bounds
	return granter.Terms{PerSecond: o.PerSecond, Burst: o.Burst, Window: b.Window, Excess: b.Excess, Slack: b.Slack}
}

// Take spends a credit for a request. If the host has none, the request waits for the home.
func (a *allowances) Take(ctx context.Context, r forwarder.AllowanceRequest, now time.Time) forwarder.AllowanceDecision {
	a.mu.Lock()
	a.pool(r.Organisation.Name).Arrive(a.terms(r.Organisation), a.config.Uptime())
	a.mu.Unlock()
	limited, cancel := ctx, context.CancelFunc(nil)
	for {
		decision, answered := a.try(r, now)
		if decision != nil {
			if cancel != nil {
				cancel()
			}
			return decision
		}
		if cancel == nil {
			limited, cancel = context.WithTimeout(ctx, allowanceWait)
		}
		select {
		case <-answered:
		case <-limited.Done():
			cancel()
			a.leave(r)
			return forwarder.AllowanceUnknown{Cause: &NoOrganisationHomeError{}}
		}
		now = time.Now()
	}
}

// try spends a credit, or makes the request wait. It returns a channel that is closed once the
// home has answered or failed.
func (a *allowances) try(r forwarder.AllowanceRequest, now time.Time) (forwarder.AllowanceDecision, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	name, up := r.Organisation.Name, a.config.Uptime()
	p := a.pool(name)
	if c, ok := p.Spend(r.Kind, up); ok {
		p.taken++
		if p.Refill(up) {
			a.refill(name, now)
		}
		return forwarder.AllowanceTaken{Credit: c}, nil
	}
	if v, ok := p.Take(r.Kind, up).(granter.Refused); ok {
		p.exceeded++
		return forwarder.AllowanceExceeded{Retry: v.Retry, Age: up - p.Told()}, nil
	}
	answered := a.ask(name, r.Kind, now)
	if answered == nil {
		p.unreached++
		return forwarder.AllowanceUnknown{Cause: &NoOrganisationHomeError{}}, nil
	}
	return nil, answered
}

// leave counts a request that has got no answer in its time.
func (a *allowances) leave(r forwarder.AllowanceRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool(r.Organisation.Name).unreached++
}

// Return puts back a credit whose request was not sent.
func (a *allowances) Return(organisation string, c granter.Credit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool(organisation).Return(c, a.config.Uptime())
}

// Expired reports whether a request that has spent a credit must not be sent any more.
func (a *allowances) Expired(c granter.Credit) bool { return a.config.Uptime() >= c.SendBy }

// pool returns the pool of an organisation. The caller must hold mu.
func (a *allowances) pool(name string) *allowancePool {
	p, ok := a.pools[name]
	if !ok {
		p = &allowancePool{}
		a.pools[name] = p
	}
	return p
}

// run follows the live hosts until ctx ends.
func (a *allowances) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if a.config.Organisations().Required() {
			a.tick(time.Now())
		}
		waiter.Sleep(ctx, allowanceTick)
	}
	return nil
}

// setRegistered takes over the hosts that the store lists.
func (a *allowances) setRegistered(hosts []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registered, a.first = len(hosts), ""
	for _, h := range hosts {
		if a.first == "" || h < a.first {
			a.first = h
		}
	}
}
