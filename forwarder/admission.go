package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/citronpier/citronpier/admitter"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// loadInterval is the age up to which the load of a service's upstreams is used again.
	loadInterval = 200 * time.Millisecond
	// longReadTime is the time that an engine takes to read a long prompt that it has not
	// cached. A turn that waits no longer is not counted as delayed.
	longReadTime = 100 * time.Millisecond
	// minIntervals is the number of events after the first read of a stream that give a mean
	// time between events.
	minIntervals = 4
)

// admission is what the admission of programs keeps of one request. It does nothing if admitter
// is nil.
type admission struct {
	admitter *admitter.Admitter
	// first is true for the first turn of a program.
	first bool
	// inFlight is the request whose response has begun, firstEvent when it did, and events the
	// number of events since.
	inFlight   *inFlightRequest
	firstEvent time.Time
	events     int
}

// admission returns the state of a new request.
func (f *Forwarder) admission(now time.Time) admission {
	a := f.config.Admission
	if a == nil || (f.config.AdmissionActive != nil && !f.config.AdmissionActive()) {
		return admission{}
	}
	a.CountRequest(now)
	return admission{admitter: a}
}

// admit returns the outcome of a turn that must not run because the upstreams are overloaded,
// and nil for other turns. It is called once the home of the program is known to have let the
// turn run: the home knows whether the program is under way.
func (e *exchange) admit(now time.Time) Outcome {
	if e.admission.admitter == nil {
		return nil
	}
	r := admitter.Request{
		ID: e.request.ID, Service: e.service.Name, Route: e.route.Name, Begun: e.underWay(), TargetLeft: e.targetLeft(now),
	}
	if e.request.Program != "" {
		r.Program = e.programID()
	}
	switch d := e.admission.admitter.Decide(r, e.upstreamLoad(now), now).(type) {
	case admitter.Admitted:
		e.admission.first = d.Reason != admitter.Begun
		e.recordAdmission(d.Reason, d.Inputs)
		return nil
	case admitter.Refused:
		e.recordAdmission(d.Reason, d.Inputs)
		return refused(overloadRefusal(e.service.Name, d))
	default:
		return nil
	}
}

// underWay reports whether the program of a turn has begun.
func (e *exchange) underWay() bool {
	return e.request.Previous != "" || e.request.LastEvent != "" || e.sessionUpstream != "" || e.programUpstream != ""
}

// targetLeft returns the time until the program should be finished, or 0 if it is not known.
func (e *exchange) targetLeft(now time.Time) time.Duration {
	if e.request.ProgramDeadline.IsZero() {
		return 0
	}
	return max(0, e.request.ProgramDeadline.Sub(now))
}

// overloadRefusal returns the refusal of a first turn.
func overloadRefusal(service string, d admitter.Refused) *refuser.Refusal {
	in := d.Inputs
	return refuser.New(refuser.Overload,
		"the upstreams of service %s are overloaded (%s): turns queue for %s and may for %s, take %.2f times as long as on idle upstreams, occupancy %.2f, share admitted %.2f",
		service, d.Reason, in.Delay.Round(time.Millisecond), in.Bearable.Round(time.Millisecond), in.Stretch, in.Occupancy, in.Share).
		WithRetry(d.Retry)
}

// recordAdmission counts a decision, and logs that an overload has begun or ended.
func (e *exchange) recordAdmission(reason admitter.Reason, in admitter.Inputs) {
	e.config.Counters.Admission(string(reason))
	if !in.Changed {
		return
	}
	message := "upstreams are not overloaded any more"
	if in.Overloaded {
		message = "upstreams are overloaded, refusing first turns in part"
	}
	e.config.Logger.Info().Str("service", e.service.Name).Dur("delay_ms", in.Delay).Dur("bearable_ms", in.Bearable).
		Float64("stretch", in.Stretch).Float64("occupancy", in.Occupancy).Float64("share", in.Share).Msg(message)
}

// observeEvents tells the admitter of events of a turn's first response. The rest of an
// interrupted stream tells nothing of the queues.
func (e *exchange) observeEvents(count int, now time.Time) {
	a := &e.admission
	switch {
	case a.admitter == nil || e.request.LastEvent != "":
	case a.inFlight == nil:
		a.inFlight, a.firstEvent = e.inFlight, now
		took := now.Sub(e.inFlight.sentAt) - e.config.Tracker.readTime(e.service.Name, e.inFlight.uncached)
		a.admitter.ObserveStart(e.service.Name, took, e.inFlight.idle, now)
	case a.inFlight == e.inFlight:
		a.events += count
	}
}

// observeEnd tells the admitter that a turn has ended, unless it was interrupted.
func (e *exchange) observeEnd(now time.Time) {
	a := &e.admission
	if a.admitter == nil || a.inFlight == nil || a.inFlight != e.inFlight {
		return
	}
	t := admitter.Turn{Service: e.service.Name, Route: e.route.Name, Took: now.Sub(e.inFlight.sentAt), Idle: e.inFlight.idle}
	if a.events >= minIntervals {
		t.Interval = now.Sub(a.firstEvent) / time.Duration(a.events)
	}
	a.admitter.ObserveEnd(t, now)
}

// retryAfterNotRun counts that an upstream did not run the request. It returns the outcome of a
// request that may not be sent to another one, and nil otherwise.
func (e *exchange) retryAfterNotRun(err *exchanger.NotRunError) Outcome {
	full := err.Status == http.StatusServiceUnavailable && !err.Notice.Leaving
	if e.admission.admitter == nil || !full {
		e.config.Counters.Retried(counter.RetryRefused)
		return nil
	}
	now := time.Now()
	if _, stream := e.route.Kind.(descriptor.Stream); stream {
		e.admission.admitter.ObserveFull(e.service.Name, now)
	}
	return e.retry(counter.RetryRefused, now)
}

// retry counts that the request is sent again. It returns the outcome of a request that is not,
// because the host's retries are used up, and nil otherwise.
func (e *exchange) retry(reason counter.Retry, now time.Time) Outcome {
	if e.admission.admitter == nil || e.admission.admitter.AllowRetry(!e.admission.first, now) {
		e.config.Counters.Retried(reason)
		return nil
	}
	e.config.Counters.Retried(counter.RetryDenied)
	if e.mayHaveRun {
		return refused(refuser.New(refuser.Lost, "the answer was lost, and too many requests are sent again").WithRun(descriptor.RunUnknown))
	}
	return refused(refuser.New(refuser.Capacity, "upstreams of service %s are full, and too many requests are sent again", e.service.Name).
		WithRetry(retryAfterRefusals))
}

// loadCache has the last load of each service's upstreams. It is safe for concurrent use, and
// the zero value is empty.
type loadCache struct {
	mu    sync.Mutex
	loads map[string]measuredLoad
}

// measuredLoad is a load and when it was measured.
type measuredLoad struct {
	admitter.Load
	at time.Time
}

// upstreamLoad returns the load of the usable upstreams of the request's service.
func (e *exchange) upstreamLoad(now time.Time) admitter.Load {
	cache := &e.upstreamLoads
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if known, ok := cache.loads[e.service.Name]; ok && now.Sub(known.at) < loadInterval {
		return known.Load
	}
	if cache.loads == nil {
		cache.loads = make(map[string]measuredLoad)
	}
	l := e.measureLoad(now)
	cache.loads[e.service.Name] = measuredLoad{Load: l, at: now}
	return l
}

// measureLoad returns the load of the usable upstreams. The hosts that don't report to this one
// count as alike.
func (e *exchange) measureLoad(now time.Time) admitter.Load {
	list, _ := e.config.Upstreams()
	after := e.admission.admitter.Bearable(e.service.Name) + longReadTime
	l := e.config.Tracker.load(list.Usable(e.service.Name, now), e.config.RemoteLoads(now), after, now)
	demand := e.config.RemoteDemand(e.service.Name, now)
	l.InFlight = l.InFlight * max(demand.Telling, demand.Hosts) / max(1, demand.Telling)
	return l
}

// load returns the load of upstreams: the requests of this host and of those that report to it,
// and this host's requests that have waited longer than after for their response.
func (t *UpstreamTracker) load(upstreams []descriptor.Upstream, remote map[uint64]UpstreamLoad, after time.Duration, now time.Time) admitter.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l admitter.Load
	for _, u := range upstreams {
		state := t.stateOf(u)
		l.Slots += max(1, u.Slots)
		l.InFlight += state.inFlight + remote[state.hash].InFlight
		l.Overdue += state.countOverdue(after, now)
	}
	return l
}

// readTime returns the time that an engine of a service takes to read prompt tokens.
func (t *UpstreamTracker) readTime(service string, tokens int64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(tokens) * t.prefills[service].PerToken()
}
