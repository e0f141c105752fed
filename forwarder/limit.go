package forwarder

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/limiter"
)

const (
	// maxLimitDelay is the longest time that a request waits under the limit of an upstream.
	maxLimitDelay = time.Second
	// limitDelayDivisor sets which part of its remaining time a request may wait: the
	// upstream needs the rest.
	limitDelayDivisor = 3
)

// RemoteDemand is what other hosts would send to the upstreams of a service.
type RemoteDemand struct {
	// Self is the id of this host.
	Self string
	// PerSecond has the requests a second of each host that has told, by the host's id.
	PerSecond map[string]float64
	// Telling is the number of live hosts that tell this one, itself included, and Hosts the
	// number of all live hosts.
	Telling, Hosts int
	// DataCentres has the requests a second that arrive at other hosts, by data centre, if
	// the load is balanced by demands. It is nil if this host hears the loads of all others.
	DataCentres map[string]float64
}

// recordArrival counts a request for a service.
func (t *UpstreamTracker) recordArrival(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.arrivals == nil {
		t.arrivals = make(map[string]limiter.Meter)
	}
	t.arrivals[service] = t.arrivals[service].WithRequest(now)
}

const (
	// minDemand is the lowest demand, in requests a second, that other hosts are told.
	minDemand = 0.01
	// toldAfter is the time within which other hosts know a demand that this one tells.
	toldAfter = 600 * time.Millisecond
)

// toldDemands holds the demands of a host as the other hosts know them by now, and those that
// it has told since.
type toldDemands struct {
	known, next map[string]float64
	nextAt      time.Time
}

// WithDemands returns t after the host has told its present demands.
func (t toldDemands) WithDemands(demands map[string]float64, now time.Time) toldDemands {
	if now.Sub(t.nextAt) < toldAfter {
		return t
	}
	return toldDemands{known: t.next, next: demands, nextAt: now}
}

// Demands returns the requests a second that arrive at this host for each service, to tell
// other hosts.
func (t *UpstreamTracker) Demands(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	demands := make(map[string]float64)
	for service, meter := range t.arrivals {
		if perSecond := meter.Rate(now); perSecond >= minDemand {
			demands[service] = perSecond
		}
	}
	t.told = t.told.WithDemands(demands, now)
	return demands
}

// limitDelay returns how long a request to an upstream has to wait for this host's part of
// the limit that the upstream names, and true if its turn has come then. If not, the choice of
// an upstream has to be made again then. The caller must hold mu.
func (t *UpstreamTracker) limitDelay(u descriptor.Upstream, d limiter.Demand, now time.Time) (delay time.Duration, inTurn bool) {
	state := t.stateOf(u)
	if state.limit == 0 {
		return 0, true
	}
	if d.Untold(state.limit) {
		return toldAfter, false
	}
	return state.allowance.Wait(d.Rate(u.ID, state.limit), now), true
}

// useAllowance counts a request to an upstream, if it names a limit. The caller must hold mu.
func (t *UpstreamTracker) useAllowance(u descriptor.Upstream, d limiter.Demand, now time.Time) {
	if state := t.stateOf(u); state.limit > 0 {
		state.allowance = state.allowance.WithRequest(d.Rate(u.ID, state.limit), now)
	}
}

// demandFor returns the demands of all hosts for the service of the upstreams, if one of them
// names a limit, and the zero value otherwise. The caller must hold mu.
func (t *UpstreamTracker) demandFor(upstreams []descriptor.Upstream, d RemoteDemand) limiter.Demand {
	limited := func(u descriptor.Upstream) bool { return t.stateOf(u).limit > 0 }
	if !slices.ContainsFunc(upstreams, limited) {
		return limiter.Demand{}
	}
	perSecond := maps.Clone(d.PerSecond)
	if perSecond == nil {
		perSecond = make(map[string]float64)
	}
	perSecond[d.Self] = t.told.known[serviceOf(upstreams)]
	return limiter.Demand{Self: d.Self, PerSecond: perSecond, Telling: d.Telling, Hosts: d.Hosts}
}

// maxDelay returns how long the request may wait under the limits of upstreams.
func (e *exchange) maxDelay(now time.Time) time.Duration {
	return min(maxLimitDelay, e.remaining(now)/limitDelayDivisor)
}

// awaitShare waits, once for a request, until other hosts know the demand of this one, if no
// upstream takes the request before. It returns false if that is not so.
func (e *exchange) awaitShare(rejected choice, now time.Time) bool {
	if rejected.delay <= 0 || rejected.delay > e.maxDelay(now) || e.shareAwaited {
		return false
	}
	e.shareAwaited = true
	waiter.Sleep(e.caller, rejected.delay)
	return true
}

// awaitDelay waits until the request may be sent to the chosen upstream, or until the caller
// has left or the deadline has passed. It returns false if the request may not be sent to the
// upstream any more.
func (e *exchange) awaitDelay(ctx context.Context, chosen choice) bool {
	if chosen.delay <= 0 {
		return true
	}
	waiter.Sleep(e.caller, chosen.delay)
	now := time.Now()
	list, _ := e.config.Upstreams()
	return e.unsendable(ctx, now) == nil && list.IsUsable(chosen.ID, now)
}
