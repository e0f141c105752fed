package forwarder

import (
	"time"

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

// newSplit returns the split of requests to the upstreams of a service. The caller must hold
// mu.
func (t *UpstreamTracker) newSplit(upstreams []descriptor.Upstream, c choiceInput, now time.Time) split {
	const typicalDataCentres = 8
	s := make(split, 0, typicalDataCentres)
	own := s.of(c.dataCentre)
	for _, u := range upstreams {
		capacity := t.capacity(u, now)
		s[s.of(u.DataCentre)].capacity += capacity
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

// capacity returns the slots of an upstream, multiplied by its speed relative to the mean of
// its service. The caller must hold mu.
func (t *UpstreamTracker) capacity(u descriptor.Upstream, now time.Time) float64 {
	return float64(max(1, u.Slots)) / t.stateOf(u).health.relativeTime(now)
}

// chooseBalanced returns the candidate that is chosen by a host which does not hear the loads
// of all others in time. The caller must hold mu.
func (t *UpstreamTracker) chooseBalanced(upstreams []descriptor.Upstream, candidates []router.Candidate, c choiceInput, r router.Request, now time.Time) (router.Candidate, bool) {
	usual := t.usualTime(serviceOf(upstreams))
	if r.Prompt > 0 || usual > briefRequest {
		return router.Choose(candidates, r)
	}
	s := t.newSplit(upstreams, c, now)
	weighted := make([]router.Weighted, len(candidates))
	for i, candidate := range candidates {
		u := candidate.Upstream
		state := t.stateOf(u)
		// The split has the loads and the distances of upstreams in it.
		candidate.Wait -= t.expectedWait(u, state.inFlight+c.remoteLoads[state.hash].InFlight)
		if u.DataCentre != c.dataCentre {
			candidate.Wait -= r.Distance
		}
		weighted[i] = router.Weighted{Candidate: candidate, Spare: t.capacity(u, now) * s[s.of(u.DataCentre)].share}
	}
	best, ok := router.ChooseBalanced(weighted, r, 2*usual)
	return best.Candidate, ok
}
