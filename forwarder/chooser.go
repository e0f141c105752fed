package forwarder

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/router"
)

const (
	// prefillPerToken is the time that an engine takes to read one prompt token.
	// According to the data sheets of the sites, an engine reads 199 tokens in a
	// millisecond.
	prefillPerToken = 5 * time.Microsecond
	// crossDataCentreCost is the cost, expressed as a time, of sending the bytes of a
	// request to another data centre. The users put a price on this traffic.
	crossDataCentreCost = 20 * time.Millisecond
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
	// tried has the ids of the upstreams that have failed or refused this request.
	// These upstreams are not chosen again.
	tried map[string]bool
	// remoteLoads has the loads that other hosts report, by the hash of the upstream's id.
	remoteLoads map[uint64]UpstreamLoad
}

// choose returns the upstream with the lowest expected cost of the request; the cost
// is a duration. It returns false if all upstreams were tried.
func (t *UpstreamTracker) choose(upstreams []descriptor.Upstream, c choiceInput, now time.Time) (descriptor.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []router.Candidate
	for _, u := range upstreams {
		if c.tried[u.ID] {
			continue
		}
		candidates = append(candidates, t.candidate(u, c, now))
	}
	best, ok := router.Choose(candidates, router.Request{
		Key:        c.request.ID,
		Prompt:     c.request.Prompt,
		DataCentre: c.dataCentre,
		Prefill:    prefillPerToken,
		Distance:   crossDataCentreCost,
	})
	return best.Upstream, ok
}

// candidate returns the expected wait and the cached tokens of a request at an
// upstream. The caller must hold mu.
func (t *UpstreamTracker) candidate(u descriptor.Upstream, c choiceInput, now time.Time) router.Candidate {
	state := t.stateOf(u)
	cached := state.cachedTokens(c.request.PromptParts)
	if u.ID == c.sessionUpstream {
		cached = max(cached, c.request.Prompt)
	}
	remoteLoad := c.remoteLoads[state.hash]
	combined := state.health.WithRemoteLoad(remoteLoad, now)
	return router.Candidate{
		Upstream:    u,
		Wait:        t.expectedWait(u, state.inFlight+remoteLoad.InFlight) + combined.cost(state.countOverdue(t.overdueAfter(u.Service), now), t.usualTime(u.Service), now),
		Cached:      cached,
		BreakerOpen: now.Before(state.avoidUntil),
	}
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
