package forwarder

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/limiter"
	"github.com/citronpier/citronpier/placer"
)

const (
	// maxPromptParts limits the number of prompt parts that are remembered for one
	// upstream.
	maxPromptParts = 512
	// partLifetime is how long after it was last sent a prompt part is assumed to be in
	// an upstream's cache, where the parts of other hosts' requests displace it.
	partLifetime = 8 * time.Second
	// initialServiceTime is the expected duration of a request to a service for which
	// no request was measured yet.
	initialServiceTime = 50 * time.Millisecond
	// smoothingDivisor sets the weight of a new measurement in a moving average:
	// the weight is 1/smoothingDivisor.
	smoothingDivisor = 16
	// avoidanceTime is how long an upstream is avoided after a failed request.
	avoidanceTime = 300 * time.Millisecond
	// minOverdueTime and overdueFactor determine when a response that has not begun is
	// overdue: when the request has waited overdueFactor times as long as requests to
	// its service wait on average, and at least minOverdueTime.
	minOverdueTime = 300 * time.Millisecond
	overdueFactor  = 4
	// errorStatusWeight is the weight of an error status of a call, as a fraction of
	// the weight of a failure. It is below 1 because healthy services now and then
	// answer with an error status, and the caller gets this response.
	errorStatusWeight = 0.25
	// reportedFailureRate is the lowest failure rate of an upstream that this host
	// reports to other hosts.
	reportedFailureRate = 0.1
	// eventWeight is the weight of the time between two events; the duration of a
	// whole request has the weight 1. eventWeight is low because engines pause now
	// and then.
	eventWeight = 0.125
)

// UpstreamTracker keeps the load, health and prompt cache of each upstream, as
// observed by this host through its own requests. It is safe for concurrent use, and
// the zero value is ready to use.
type UpstreamTracker struct {
	mu sync.Mutex
	// upstreams has the state of each upstream by its id.
	upstreams map[string]*upstreamState
	// serviceTimes has, by service, the moving average of the duration of a request,
	// and responseStartTimes has the moving average of the time until the response
	// begins.
	serviceTimes       map[string]time.Duration
	responseStartTimes map[string]time.Duration
	// prefills has the time that the engines of a service take to read a prompt, by
	// service.
	prefills map[string]prefill
	// demand is how often this host's requests begin with each shared prompt part.
	demand placer.Demand
	// eventIntervals has the moving average of the time between two events of a
	// response by service.
	eventIntervals map[string]time.Duration
	// arrivals measures the requests that arrive at this host, by service.
	arrivals map[string]limiter.Meter
	// told holds the demands that other hosts were told.
	told toldDemands
	// splits has how the requests for a service are divided between data centres, by service,
	// and short is the buffer of shortlist.
	splits map[string]agedSplit
	short  []descriptor.Upstream
}

// upstreamState is what this host knows of one incarnation of an upstream.
type upstreamState struct {
	// hash is the hash of the upstream's id, by which hosts identify the upstream in
	// their reports.
	hash    uint64
	service string
	// inFlight is the number of requests of this host that the upstream is working
	// on, including requests that were sent to earlier incarnations.
	inFlight int
	// promptParts has when each prompt part was last sent to the upstream, by the part's
	// id. Parts that were sent recently are likely to be in the upstream's cache.
	promptParts *lru.Cache[string, time.Time]
	incarnation int64
	// avoidUntil is the time until which other upstreams are preferred.
	avoidUntil time.Time
	health     health
	// unanswered has the send times of the requests whose responses have not begun,
	// the oldest first.
	unanswered list.List
	// limit is the requests a second that the upstream takes from all hosts together; 0 if
	// it names none. allowance is what this host has saved up of its share.
	limit     float64
	allowance limiter.Allowance
	// leavingSince is when the upstream first said in a response that it leaves. It is never
	// reset: a response that was begun before may arrive later.
	leavingSince time.Time
}

// leftBefore reports whether the upstream said at the given time or before that it leaves.
func (s *upstreamState) leftBefore(at time.Time) bool {
	return !s.leavingSince.IsZero() && !s.leavingSince.After(at)
}

// countOverdue returns the number of requests that were sent at least a given duration
// ago (the parameter after) and whose responses have not begun.
func (s *upstreamState) countOverdue(after time.Duration, now time.Time) int {
	count := 0
	for e := s.unanswered.Front(); e != nil; e = e.Next() {
		if sent, ok := e.Value.(time.Time); !ok || now.Sub(sent) < after {
			break
		}
		count++
	}
	return count
}

// stateOf returns the state of an upstream. It creates a new state for an unknown
// upstream, and for a new incarnation of a known upstream. A new incarnation keeps
// only the number of requests in flight from the old state. The caller must hold mu.
func (t *UpstreamTracker) stateOf(u descriptor.Upstream) *upstreamState {
	known, ok := t.upstreams[u.ID]
	if ok && known.incarnation == u.Incarnation {
		return known
	}
	promptParts, err := lru.New[string, time.Time](maxPromptParts)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	fresh := &upstreamState{hash: xxhash.Sum64String(u.ID), service: u.Service, promptParts: promptParts, incarnation: u.Incarnation}
	if ok {
		fresh.inFlight = known.inFlight
	}
	if t.upstreams == nil {
		t.upstreams = make(map[string]*upstreamState)
	}
	t.upstreams[u.ID] = fresh
	return fresh
}

// currentState returns the present state of the upstream to which a request was sent,
// or nil if Prune has deleted this state. sameIncarnation reports whether the request
// was sent to the present incarnation. The caller must hold mu.
func (t *UpstreamTracker) currentState(request *inFlightRequest) (state *upstreamState, sameIncarnation bool) {
	state = t.upstreams[request.upstream.ID]
	return state, state == request.state
}

// begin records that a request with the given prompt prefix is sent to the chosen
// upstream. The caller must pass the returned value to end.
func (t *UpstreamTracker) begin(chosen choice, prefix []descriptor.PromptPart, now time.Time) *inFlightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := chosen.Upstream
	state := t.stateOf(u)
	state.inFlight++
	if part, shared := sharedPart(prefix); shared {
		t.demand.Add(part, now)
	}
	for _, part := range prefix {
		state.promptParts.Add(part.ID, now)
	}
	return &inFlightRequest{
		state: state, upstream: u, sentAt: now, unansweredElement: state.unanswered.PushBack(now),
		uncached: chosen.uncached, idle: chosen.idle,
	}
}

// recordResponseStart records that the response to a request has begun.
func (t *UpstreamTracker) recordResponseStart(request *inFlightRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request.removeUnanswered()
	if t.responseStartTimes == nil {
		t.responseStartTimes = make(map[string]time.Duration)
	}
	took := now.Sub(request.sentAt)
	updateAverage(t.responseStartTimes, request.upstream.Service, took, initialServiceTime)
	if request.idle {
		service := request.upstream.Service
		if t.prefills == nil {
			t.prefills = make(map[string]prefill)
		}
		t.prefills[service] = t.prefills[service].WithSample(request.uncached, took)
	}
}

// recordEventInterval records the mean time between the events of a response that
// have arrived since the previous call.
func (t *UpstreamTracker) recordEventInterval(request *inFlightRequest, interval time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.eventIntervals == nil {
		t.eventIntervals = make(map[string]time.Duration)
	}
	request.intervalsMeasured = true
	usual := updateAverage(t.eventIntervals, request.upstream.Service, interval, interval)
	if state, sameIncarnation := t.currentState(request); sameIncarnation {
		state.health = state.health.WithTime(slowdownOf(interval, usual), eventWeight, now)
	}
}

// slowdownOf returns a measured duration relative to the usual duration: 2 means
// twice as long.
func slowdownOf(took, usual time.Duration) float64 { return float64(took) / float64(max(usual, 1)) }

// end records how a request ended. A request that was cancelled while its response
// was overdue counts as failed.
func (t *UpstreamTracker) end(request *inFlightRequest, r result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if request.unansweredElement != nil && r == resultUnknown && now.Sub(request.sentAt) >= t.overdueAfter(request.upstream.Service) {
		r = resultFailed
	}
	request.removeUnanswered()
	state, sameIncarnation := t.currentState(request)
	if state != nil {
		state.inFlight--
	}
	if !sameIncarnation {
		// The result of an earlier incarnation says nothing about the present
		// incarnation.
		return
	}
	switch r {
	case resultOK:
		if t.serviceTimes == nil {
			t.serviceTimes = make(map[string]time.Duration)
		}
		took := now.Sub(request.sentAt)
		usual := updateAverage(t.serviceTimes, request.upstream.Service, took, initialServiceTime)
		state.health = state.health.WithResult(0, now)
		if !request.intervalsMeasured {
			state.health = state.health.WithTime(slowdownOf(took, usual), 1, now)
		}
	case resultErrorStatus:
		state.health = state.health.WithResult(errorStatusWeight, now)
	case resultFailed:
		state.health = state.health.WithResult(1, now)
		state.avoidUntil = now.Add(avoidanceTime)
	}
}

// updateAverage adds a measured duration to the moving average of a service and
// returns the new average. The average starts at the given initial value.
func updateAverage(averages map[string]time.Duration, service string, took, initial time.Duration) time.Duration {
	old, ok := averages[service]
	if !ok {
		old = initial
	}
	averages[service] = old + (took-old)/smoothingDivisor
	return averages[service]
}

// overdueAfter returns the time after which a response of a service that has not
// begun is overdue. The caller must hold mu.
func (t *UpstreamTracker) overdueAfter(service string) time.Duration {
	return max(minOverdueTime, overdueFactor*t.responseStartTimes[service])
}

// OverdueAfter returns the time after which a response of a service that has not
// begun is overdue, which counts against the health of its upstream.
func (t *UpstreamTracker) OverdueAfter(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overdueAfter(service)
}

// Loads returns the loads that this host reports to other hosts, by the hash of the
// upstream's id. It omits failure rates below reportedFailureRate, slowdowns up to
// toleratedSlowdown, and upstreams for which there is nothing to report.
func (t *UpstreamTracker) Loads(now time.Time) map[uint64]UpstreamLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[uint64]UpstreamLoad)
	for _, state := range t.upstreams {
		failureRate := state.health.failureRate(state.countOverdue(t.overdueAfter(state.service), now), now)
		if failureRate < reportedFailureRate {
			failureRate = 0
		}
		slowdown := state.health.expectedSlowdown(now)
		if slowdown <= toleratedSlowdown {
			slowdown = 0
		}
		if state.inFlight > 0 || failureRate > 0 || slowdown > 0 {
			loads[state.hash] = UpstreamLoad{}.WithHost(state.inFlight, failureRate, slowdown)
		}
	}
	return loads
}

// leavingKept is how long it is kept that an upstream said it leaves, if it is not listed any
// more: it may be listed again after an outage of the store.
const leavingKept = 5 * time.Minute

// Prune deletes the state of upstreams for which listed returns false and that have
// no request in flight.
func (t *UpstreamTracker) Prune(listed func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.upstreams {
		kept := now.Sub(state.leavingSince) < leavingKept
		if state.inFlight == 0 && !kept && !listed(id) {
			delete(t.upstreams, id)
		}
	}
}

// cachedTokens returns the number of tokens at the start of a prompt that are likely to
// be in the upstream's cache: parts that this host sent there recently. If holds is
// true, the upstream holds the first part for all hosts.
func (s *upstreamState) cachedTokens(prefix []descriptor.PromptPart, holds bool, now time.Time) int64 {
	var tokens int64
	for i, part := range prefix {
		sentAt, ok := s.promptParts.Peek(part.ID)
		sentRecently := ok && now.Sub(sentAt) < partLifetime
		if held := holds && i == 0; !held && !sentRecently {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
