package admitter

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// estimateMargin is how much more turns may be stretched than on the least loaded upstreams,
	// which the figures describe.
	estimateMargin = 1.2
	// maxDrought is how long all first turns of a route may be refused.
	maxDrought = 5 * time.Second
)

// Admitter holds what one host has measured. It is safe for concurrent use, and the zero value
// is ready to use.
type Admitter struct {
	mu sync.Mutex
	// started is the time of the first call. Other times are kept relative to it.
	started  time.Time
	services map[string]*service
	routes   map[string]*route
	// programs has the programs whose first turn this host admitted or refused.
	programs *lru.Cache[string, program]
	retries  retryBudget
}

// since returns a time relative to the start, above 0. The caller must hold mu.
func (a *Admitter) since(now time.Time) time.Duration {
	if a.started.IsZero() {
		a.started = now.Add(-time.Hour)
	}
	return now.Sub(a.started)
}

// service returns the state of a service. The caller must hold mu.
func (a *Admitter) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		if a.services == nil {
			a.services = make(map[string]*service)
		}
		s = &service{}
		a.services[name] = s
	}
	return s
}

// route returns the state of a route. The caller must hold mu.
func (a *Admitter) route(name string, at time.Duration) *route {
	r, ok := a.routes[name]
	if !ok {
		if a.routes == nil {
			a.routes = make(map[string]*route)
		}
		r = &route{admitted: at}
		a.routes[name] = r
	}
	return r
}

// ObserveStart adds the time from sending a turn to its first event, without the time that
// reading its prompt should take. idle is true if the upstream had free slots.
func (a *Admitter) ObserveStart(service string, took time.Duration, idle bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(service).observeStart(took, idle, a.since(now))
}

// ObserveFull adds a turn that an upstream refused because it is full.
func (a *Admitter) ObserveFull(service string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service(service).observeFull(a.since(now))
}

// ObserveEnd adds a turn that has ended.
func (a *Admitter) ObserveEnd(t Turn, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.since(now)
	a.service(t.Service).observeEnd(t, at)
	a.route(t.Route, at).observeEnd(t.Took)
}

// Bearable returns the queueing delay that the callers of a service can bear.
func (a *Admitter) Bearable(service string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.service(service)
	return s.idleDelay.value + s.bearable()
}

// Decide returns what is to be done with a turn.
func (a *Admitter) Decide(r Request, l Load, now time.Time) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.since(now)
	s, route := a.service(r.Service), a.route(r.Route, at)
	in := s.update(l, at)
	p := a.program(r, at)
	if r.Begun || p.admitted {
		route.observe(false, at)
		return Admitted{Reason: Begun, Inputs: in}
	}
	reason, admitted := decide(r, p, route, in, at)
	if !admitted {
		p.refusals++
		a.remember(r, p)
		return Refused{Reason: reason, Retry: retryAfter(r, p, route, in, at), Inputs: in}
	}
	route.observe(true, at)
	p.admitted = true
	a.remember(r, p)
	return Admitted{Reason: reason, Inputs: in}
}

// decide returns whether a first turn is admitted, and why.
func decide(r Request, p program, route *route, in Inputs, at time.Duration) (Reason, bool) {
	switch {
	case in.Share >= 1:
		return Calm, true
	case at-route.admitted >= maxDrought:
		return Starved, true
	case p.slack(estimateMargin*in.Stretch, at) < 0:
		return Hopeless, false
	case draw(r.ID) < p.chance(in.Share):
		return Share, true
	default:
		return Excess, false
	}
}

// CountRequest counts a request of the host: retries are allowed in proportion to them.
func (a *Admitter) CountRequest(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retries = a.retries.WithRequest(now)
}

// AllowRetry reports whether a request may be sent to another upstream after one was full or
// lost the response, and counts the retry. begun is false for the first turn of a program.
func (a *Admitter) AllowRetry(begun bool, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.retries.Allows(begun, now) {
		return false
	}
	a.retries = a.retries.WithRetry(now)
	return true
}
