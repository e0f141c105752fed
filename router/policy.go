package router

import (
	"strconv"
	"sync/atomic"
)

// Policy selects how an upstream is chosen: LeastCost, LeastLoaded or RoundRobin.
type Policy interface{ policy() }

// LeastCost chooses the upstream with the lowest sum of expected wait, prefill
// time of uncached prompt tokens, and distance. It is the default.
type LeastCost struct{}

// LeastLoaded ignores what upstreams have cached. It chooses by expected wait and
// distance, and spreads calls evenly over upstreams of equal cost. It is a
// baseline for comparisons.
type LeastLoaded struct {
	// Counter counts the choices; its value varies the choice among upstreams of
	// equal cost.
	Counter *atomic.Uint64
}

// RoundRobin chooses the candidates in rotation. It is a baseline for comparisons.
type RoundRobin struct {
	// Counter counts the choices. A choice increments Counter, and the new value
	// modulo the number of candidates is the index of the chosen candidate.
	Counter *atomic.Uint64
}

func (LeastCost) policy()   {}
func (LeastLoaded) policy() {}
func (RoundRobin) policy()  {}

// ChooseBy returns the candidate that a policy chooses, or false if there are no
// candidates. A nil policy means LeastCost.
func ChooseBy(p Policy, candidates []Candidate, r Request) (Candidate, bool) {
	switch policy := p.(type) {
	case RoundRobin:
		if len(candidates) == 0 {
			return Candidate{}, false
		}
		return candidates[policy.Counter.Add(1)%uint64(len(candidates))], true
	case LeastLoaded:
		r.Key = strconv.FormatUint(policy.Counter.Add(1), 10)
		return Choose(withoutCacheInfo(candidates), r)
	default:
		return Choose(candidates, r)
	}
}

// withoutCacheInfo returns a copy of all candidates with Cached set to 0.
func withoutCacheInfo(candidates []Candidate) []Candidate {
	uncached := make([]Candidate, len(candidates))
	for i, c := range candidates {
		c.Cached = 0
		uncached[i] = c
	}
	return uncached
}
