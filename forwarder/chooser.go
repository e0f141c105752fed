package forwarder

import (
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/limiter"
	"github.com/citronpier/citronpier/placer"
	"github.com/citronpier/citronpier/router"
)

const (
	// crossDataCentreCost is the cost, expressed as a time, of sending the bytes of a
	// request to another data centre. The users put a price on this traffic.
	crossDataCentreCost = 20 * time.Millisecond
	// newConnectionCost is the cost, expressed as a time, of a connection that has to be
	// opened: the connection takes time and may hold a slot of the upstream, and the
	// users put a price on it.
	newConnectionCost = 15 * time.Millisecond
	// fullLoadDivisor sets how much load slows an upstream down: a request to an
	// upstream with all slots in use takes 1/fullLoadDivisor longer than a request to
	// an idle upstream.
	fullLoadDivisor = 5
)

// choiceInput holds the inputs to the choice of an upstream, apart from the state
// that the UpstreamTracker keeps.
type choiceInput struct {
	request descriptor.Request
	// dataCentre is the data centre of this host.
	dataCentre string
	// sessionUpstream is the id of the upstream that served the session's last turn.
	// This upstream is assumed to have the whole prompt in its cache.
	sessionUpstream string
	// programUpstream is the id of the upstream that served the last turn of any session
	// of the program. This upstream is assumed to have the prompt in its cache up to the
	// last part, which belongs to the request itself.
	programUpstream string
	// connected reports whether this host has an idle connection to an upstream. If it is
	// nil, all upstreams count as connected.
	connected func(u descriptor.Upstream) bool
	// tried has the ids of the upstreams that have failed or refused this request.
	// These upstreams are not chosen again.
	tried map[string]bool
	// remoteLoads has the loads that other hosts report, by the hash of the upstream's id.
	remoteLoads map[uint64]UpstreamLoad
	// remoteDemand is what other hosts would send to the upstreams, and maxDelay how long the
	// request may wait for this host's share of an upstream's limit.
	remoteDemand RemoteDemand
	maxDelay     time.Duration
	// leavingGrace is for how long an upstream may be chosen that has said it leaves.
	leavingGrace time.Duration
}

// withLeavingGrace returns c with another leavingGrace.
func (c choiceInput) withLeavingGrace(grace time.Duration) choiceInput {
	c.leavingGrace = grace
	return c
}

// choice is an upstream that was chosen for a request, and what the choice assumed.
type choice struct {
	descriptor.Upstream
	// uncached is the number of prompt tokens that are not in the upstream's cache.
	uncached int64
	// idle is true if at most half of the upstream's slots are in use, so that the
	// upstream reads the prompt at once.
	idle bool
	// only is true if no other upstream could be chosen.
	only bool
	// delay is how long the request has to wait before it is sent, as the upstream names a
	// limit.
	delay time.Duration
	// method is how the upstream was chosen if this host does not hear the loads of all
	// others, and empty if it does.
	method counter.Choice
}

// choose returns the upstream with the lowest expected cost of the request; the cost
// is a duration. It returns false if all upstreams were tried, or if the limits that they
// name allow none for longer than the request may wait; the delay of the choice is then the
// shortest time in which one does.
func (t *UpstreamTracker) choose(upstreams []descriptor.Upstream, c choiceInput, now time.Time) (choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.balances(upstreams, c) {
		return t.chooseFrom(upstreams, nil, c, now)
	}
	s := t.splitFor(upstreams, c, now)
	if short := t.shortlist(upstreams, s, c); len(short) < len(upstreams) {
		if chosen, ok := t.chooseFrom(short, s, c, now); ok {
			return chosen, true
		}
	}
	return t.chooseFrom(upstreams, s, c, now)
}

// chooseFrom does what choose says. A split that is not nil divides requests by demand. The
// caller must hold mu.
func (t *UpstreamTracker) chooseFrom(upstreams []descriptor.Upstream, s split, c choiceInput, now time.Time) (choice, bool) {
	demand := t.demandFor(upstreams, c.remoteDemand)
	candidates, delays, shortestDelay := t.candidates(upstreams, c, demand, now)
	best, ok := t.best(s, candidates, c, router.Request{
		Key:        c.request.ID,
		Prompt:     c.request.Prompt,
		DataCentre: c.dataCentre,
		Prefill:    t.prefills[serviceOf(upstreams)].PerToken(),
		Distance:   crossDataCentreCost,
	}, now)
	if !ok {
		return choice{delay: shortestDelay}, false
	}
	t.useAllowance(best.Upstream, demand, now)
	state := t.stateOf(best.Upstream)
	inFlight := state.inFlight + c.remoteLoads[state.hash].InFlight
	return choice{
		Upstream: best.Upstream,
		uncached: max(0, c.request.Prompt-best.Cached),
		idle:     2*inFlight <= best.Upstream.Slots,
		delay:    delays[best.Upstream.ID],
		method:   methodOf(s, c),
		only:     len(candidates) == 1,
	}, true
}

// best returns the candidate that is chosen. The caller must hold mu.
func (t *UpstreamTracker) best(s split, candidates []router.Candidate, c choiceInput, r router.Request, now time.Time) (router.Candidate, bool) {
	if s == nil {
		return router.Choose(candidates, r)
	}
	return t.chooseBalanced(s, candidates, c, r, now)
}

// candidates returns the upstreams that may be chosen, and the delays of those that name a
// limit, by id. shortestDelay is the shortest time in which one that takes no request in time
// does, or 0. The caller must hold mu.
func (t *UpstreamTracker) candidates(upstreams []descriptor.Upstream, c choiceInput, demand limiter.Demand, now time.Time) (
	candidates []router.Candidate, delays map[string]time.Duration, shortestDelay time.Duration,
) {
	holders := t.holdersOf(c, upstreams, now)
	candidates = make([]router.Candidate, 0, len(upstreams))
	for _, u := range upstreams {
		if c.tried[u.ID] || t.stateOf(u).leftBefore(now.Add(-c.leavingGrace)) {
			continue
		}
		delay, inTurn := t.limitDelay(u, demand, now)
		if delay > c.maxDelay || !inTurn {
			if shortestDelay == 0 || delay < shortestDelay {
				shortestDelay = delay
			}
			continue
		}
		candidate := t.candidate(u, c, holders[u.ID], now)
		if delay > 0 {
			if delays == nil {
				delays = make(map[string]time.Duration)
			}
			delays[u.ID] = delay
			candidate.Wait += delay
		}
		candidates = append(candidates, candidate)
	}
	return candidates, delays, shortestDelay
}

// holdersOf returns the ids of the upstreams of this data centre that hold the first part
// of a prompt. If the data centre has no upstream, upstreams of all data centres hold it.
// The caller must hold mu.
func (t *UpstreamTracker) holdersOf(c choiceInput, upstreams []descriptor.Upstream, now time.Time) map[string]bool {
	part, shared := sharedPart(c.request.PromptParts)
	if !shared {
		return nil
	}
	var near []descriptor.Upstream
	for _, u := range upstreams {
		if u.DataCentre == c.dataCentre {
			near = append(near, u)
		}
	}
	if len(near) == 0 {
		near = upstreams
	}
	return placer.Holders(part, t.demand.Share(part, now), near)
}

// sharedPart returns the id of the part that a prompt shares with other programs: the
// first one, unless it is also the last, which belongs to the request itself.
func sharedPart(prefix []descriptor.PromptPart) (id string, ok bool) {
	if len(prefix) <= 1 {
		return "", false
	}
	return prefix[0].ID, true
}

// serviceOf returns the service of the upstreams, which all belong to the same one.
func serviceOf(upstreams []descriptor.Upstream) string {
	if len(upstreams) == 0 {
		return ""
	}
	return upstreams[0].Service
}

// candidate returns the expected wait and the cached tokens of a request at an
// upstream. holds is true if the upstream is to hold the first part of the prompt. The caller
// must hold mu.
func (t *UpstreamTracker) candidate(u descriptor.Upstream, c choiceInput, holds bool, now time.Time) router.Candidate {
	state := t.stateOf(u)
	cached := state.cachedTokens(c.request.PromptParts, holds, now)
	if u.ID == c.programUpstream {
		cached = max(cached, c.request.Prompt-ownTokens(c.request.PromptParts))
	}
	if u.ID == c.sessionUpstream {
		cached = max(cached, c.request.Prompt)
	}
	remoteLoad := c.remoteLoads[state.hash]
	combined := state.health.WithRemoteLoad(remoteLoad, now)
	wait := t.expectedWait(u, state.inFlight+remoteLoad.InFlight)
	wait += combined.cost(state.countOverdue(t.overdueAfter(u.Service), now), t.usualTime(u.Service), now)
	if c.connected != nil && !c.connected(u) {
		wait += newConnectionCost
	}
	return router.Candidate{
		Upstream:    u,
		Wait:        wait,
		Cached:      cached,
		BreakerOpen: now.Before(state.avoidUntil),
	}
}

// ownTokens returns the number of tokens of the last part of a prompt, which belongs to
// the request itself.
func ownTokens(parts []descriptor.PromptPart) int64 {
	if len(parts) == 0 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// expectedWait returns how much longer a request is expected to take because the
// upstream has the given number of other requests in flight: these slow the request
// down, and if all slots are in use, the request waits for a free slot. The caller
// must hold mu.
func (t *UpstreamTracker) expectedWait(u descriptor.Upstream, inFlight int) time.Duration {
	usual := t.usualTime(u.Service)
	slots := max(1, u.Slots)
	slowdown := usual * time.Duration(min(inFlight, slots)) / time.Duration(slots*fullLoadDivisor)
	queued := max(0, inFlight+1-slots)
	return slowdown + usual*time.Duration(queued)/time.Duration(slots)
}

// usualTime returns the average duration of a request to a service, or
// initialServiceTime if no request was measured yet. The caller must hold mu.
func (t *UpstreamTracker) usualTime(service string) time.Duration {
	if average, ok := t.serviceTimes[service]; ok {
		return average
	}
	return initialServiceTime
}
