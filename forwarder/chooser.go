package forwarder

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/router"
)

const (
	// prefill is the time that an engine takes for one prompt token: 199 are
	// read in a millisecond by the site sheets.
	prefill = 5 * time.Microsecond
	// distance is the cost of a request's bytes between data centres, which the
	// users price, in time.
	distance = 20 * time.Millisecond
	// crowding is the share of a request's time by which a full upstream is
	// slower than an empty one, as a divisor.
	crowding = 5
)

// choice is what the choice of an upstream depends on.
type choice struct {
	request    descriptor.Request
	dataCentre string
	// held is the upstream that served the session's last turn.
	held string
	// tried lists upstreams that did not take this request.
	tried map[string]bool
	// others has what other hosts say, by upstream hash.
	others map[uint64]Load
}

// choose returns the upstream with the lowest expected time, or false where
// none is left.
func (b *Board) choose(upstreams []descriptor.Upstream, c choice, now time.Time) (descriptor.Upstream, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []router.Candidate
	for _, u := range upstreams {
		if c.tried[u.ID] {
			continue
		}
		candidates = append(candidates, b.candidate(u, c, now))
	}
	best, ok := router.Choose(candidates, router.Request{
		Key:        c.request.ID,
		Prompt:     c.request.Prompt,
		DataCentre: c.dataCentre,
		Prefill:    prefill,
		Distance:   distance,
	})
	return best.Upstream, ok
}

// candidate returns what is known of an upstream for a request.
func (b *Board) candidate(u descriptor.Upstream, c choice, now time.Time) router.Candidate {
	p := b.place(u)
	cached := p.cached(c.request.Prefix)
	if u.ID == c.held {
		cached = max(cached, c.request.Prompt)
	}
	others := c.others[p.hash]
	known := p.health.WithOthers(others, now)
	return router.Candidate{
		Upstream: u,
		Wait:     b.wait(u, p.running+others.Running) + known.cost(p.overdue(b.overdueAfter(u.Service), now), b.usual(u.Service), now),
		Cached:   cached,
		Broken:   now.Before(p.avoid),
	}
}

// wait returns the time that a request loses at an upstream which has others
// under way.
func (b *Board) wait(u descriptor.Upstream, running int) time.Duration {
	service := b.usual(u.Service)
	slots := max(1, u.Slots)
	slower := service * time.Duration(min(running, slots)) / time.Duration(slots*crowding)
	queued := max(0, running+1-slots)
	return slower + service*time.Duration(queued)/time.Duration(slots)
}

// usual returns the usual time of a request at a service.
func (b *Board) usual(service string) time.Duration {
	if usual, ok := b.service[service]; ok {
		return usual
	}
	return firstService
}
