package forwarder

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/router"
)

const (
	// briefRequest is the duration up to which requests end before other hosts hear of them,
	// so that the reported loads say nothing about the slots that are free.
	briefRequest = 300 * time.Millisecond
	// localUtilisation is the utilisation up to which the upstreams of a data centre serve its
	// own requests although others are less used: waits for a slot are rare.
	localUtilisation = 0.2
	// spreadFrom and spreadFull are the utilisations of all upstreams at which a data centre
	// begins to spread requests over all others, and at which it spreads maxSpread of
	// them. The demands that it knows are a few seconds old, and the busier the upstreams
	// are, the longer are the waits that an error of the demands causes.
	spreadFrom, spreadFull = 0.5, 0.9
	maxSpread              = 0.7
)

// dataCentreLoad is the demand and the capacity of a data centre, both as a number of slots.
type dataCentreLoad struct {
	name             string
	demand, capacity float64
	// share is the part of this host's requests that the data centre gets for each slot
	// of its capacity.
	share float64
}

// split is how the requests of this host are divided between data centres.
type split []dataCentreLoad

// of returns the index of a data centre, which it adds if it is new.
func (s *split) of(name string) int {
	for i, d := range *s {
		if d.name == name {
			return i
		}
	}
	*s = append(*s, dataCentreLoad{name: name})
	return len(*s) - 1
}

// totals returns the demand and the capacity of all data centres.
func (s split) totals() (demand, capacity float64) {
	for _, d := range s {
		demand += d.demand
		capacity += d.capacity
	}
	return demand, capacity
}

// divide sets the shares for a host of the first data centre. Upstreams of other data centres
// get what its own can't serve at the utilisation that all upstreams would have on average. A
// demand depends on no host's choice, unlike the load of an upstream, so that hosts which
// know it late don't all turn to the same upstreams.
func (s split) divide() {
	demand, capacity := s.totals()
	if capacity <= 0 {
		return
	}
	utilisation := demand / capacity
	level := max(localUtilisation, utilisation)
	room := 0.0
	for _, d := range s[1:] {
		room += max(0, level*d.capacity-d.demand)
	}
	overflow := 0.0
	if own := s[0]; own.demand > 0 && room > 0 {
		overflow = max(0, 1-level*own.capacity/own.demand)
	}
	spread := maxSpread * min(1, max(0, (utilisation-spreadFrom)/(spreadFull-spreadFrom)))
	for i, d := range s {
		part := 1 - overflow
		if i > 0 {
			part = overflow * max(0, level*d.capacity-d.demand) / max(room, minPart)
		}
		s[i].share = (1-spread)*part/max(d.capacity, minPart) + spread/capacity
	}
}

// minPart keeps quotients finite.
const minPart = 1e-9

// splitAge is how long a split is used before it is computed again.
const splitAge = 50 * time.Millisecond

// agedSplit is the split of the requests for a service that was computed at a time, for a number
// of upstreams.
type agedSplit struct {
	split     split
	at        time.Time
	upstreams int
}

// splitFor returns the split of requests to the upstreams of a service. The caller must hold
// mu.
func (t *UpstreamTracker) splitFor(upstreams []descriptor.Upstream, c choiceInput, now time.Time) split {
	service := serviceOf(upstreams)
	if kept, ok := t.splits[service]; ok && now.Sub(kept.at) < splitAge && kept.upstreams == len(upstreams) {
		return kept.split
	}
	if t.splits == nil {
		t.splits = make(map[string]agedSplit)
	}
	fresh := t.newSplit(upstreams, c, now)
	t.splits[service] = agedSplit{split: fresh, at: now, upstreams: len(upstreams)}
	return fresh
}

// newSplit computes a split. The caller must hold mu.
func (t *UpstreamTracker) newSplit(upstreams []descriptor.Upstream, c choiceInput, now time.Time) split {
	var s split
	own := s.of(c.dataCentre)
	for _, u := range upstreams {
		s[s.of(u.DataCentre)].capacity += t.stateOf(u).capacity(u, now)
	}
	service := serviceOf(upstreams)
	usual := t.usualTime(service).Seconds()
	s[own].demand = t.arrivals[service].Rate(now) * usual
	for name, perSecond := range c.remoteDemand.DataCentres {
		i := s.of(name)
		s[i].demand += perSecond * usual
	}
	s.divide()
	return s
}

// shareOf returns the share of a data centre.
func (s split) shareOf(name string) float64 {
	for i := range s {
		if s[i].name == name {
			return s[i].share
		}
	}
	return 0
}

// capacity returns the slots of an upstream, multiplied by its speed relative to the mean of
// its service.
func (s *upstreamState) capacity(u descriptor.Upstream, now time.Time) float64 {
	return float64(max(1, u.Slots)) / s.health.relativeTime(now)
}

// balances reports whether a choice divides requests by demand: this host does not hear the
// loads of all others, and the request is brief. The caller must hold mu.
func (t *UpstreamTracker) balances(upstreams []descriptor.Upstream, c choiceInput) bool {
	return c.remoteDemand.DataCentres != nil && c.request.Prompt == 0 && t.usualTime(serviceOf(upstreams)) <= briefRequest
}

// maxBalanced is the number of upstreams among which one is chosen if there are many, so that a
// choice takes no longer than with few.
const maxBalanced = 8

// shortlist returns the upstreams among which one is chosen by demand. If there are many, it
// returns some of a data centre, both picked by a hash of the request. The result is valid
// until the next call. The caller must hold mu.
func (t *UpstreamTracker) shortlist(upstreams []descriptor.Upstream, s split, c choiceInput) []descriptor.Upstream {
	const many = 4 * maxBalanced
	if len(upstreams) <= many || len(c.tried) > 0 {
		return upstreams
	}
	hash := xxhash.Sum64String(c.request.ID)
	name := s.pick(float64(hash>>11) / (1 << 53))
	first := int(hash % uint64(len(upstreams)))
	t.short = t.short[:0]
	for i := range upstreams {
		u := &upstreams[(first+i)%len(upstreams)]
		if u.DataCentre != name {
			continue
		}
		if t.short = append(t.short, *u); len(t.short) == maxBalanced {
			break
		}
	}
	return t.short
}

// pick returns the data centre to which a request is sent, for a number in [0, 1).
func (s split) pick(fraction float64) string {
	total := 0.0
	for _, d := range s {
		total += d.share * d.capacity
	}
	rest := fraction * total
	for _, d := range s {
		if rest -= d.share * d.capacity; rest < 0 {
			return d.name
		}
	}
	return s[0].name
}

// chooseBalanced returns the candidate that is chosen by demand. The caller must hold mu.
func (t *UpstreamTracker) chooseBalanced(s split, candidates []router.Candidate, c choiceInput, r router.Request, now time.Time) (router.Candidate, bool) {
	weighted := make([]router.Weighted, len(candidates))
	for i := range candidates {
		w := &weighted[i]
		w.Candidate = candidates[i]
		state := t.stateOf(w.Upstream)
		w.Spare = state.capacity(w.Upstream, now) * s.shareOf(w.Upstream.DataCentre)
		// The split has the loads and the distances of upstreams in it.
		w.Wait -= t.expectedWait(w.Upstream, state.inFlight+c.remoteLoads[state.hash].InFlight)
		if w.Upstream.DataCentre != c.dataCentre {
			w.Wait -= r.Distance
		}
	}
	if len(weighted) == 0 {
		return router.Candidate{}, false
	}
	best, ok := router.ChooseBalanced(weighted, r, 2*t.usualTime(weighted[0].Upstream.Service))
	return best.Candidate, ok
}
