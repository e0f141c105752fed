package router

import (
	"strconv"
	"sync/atomic"
)

// Policy is the way in which upstreams are chosen.
type Policy interface{ policy() }

// LeastCost chooses by expected wait, uncached prefill and distance. It is the
// default.
type LeastCost struct{}

// LeastLoaded chooses by expected wait alone, and among equals at random. It
// is a baseline.
type LeastLoaded struct {
	// Turn counts the choices.
	Turn *atomic.Uint64
}

// RoundRobin chooses one upstream after the other. It is a baseline.
type RoundRobin struct {
	// Turn counts the choices.
	Turn *atomic.Uint64
}

func (LeastCost) policy()   {}
func (LeastLoaded) policy() {}
func (RoundRobin) policy()  {}

// ChooseBy returns an upstream by a policy; nil is LeastCost.
func ChooseBy(p Policy, candidates []Candidate, r Request) (Candidate, bool) {
	switch policy := p.(type) {
	case RoundRobin:
		if len(candidates) == 0 {
			return Candidate{}, false
		}
		return candidates[policy.Turn.Add(1)%uint64(len(candidates))], true
	case LeastLoaded:
		r.Key = strconv.FormatUint(policy.Turn.Add(1), 10)
		return Choose(unaware(candidates), r)
	default:
		return Choose(candidates, r)
	}
}

// unaware returns the candidates without what is known of their caches.
func unaware(candidates []Candidate) []Candidate {
	plain := make([]Candidate, len(candidates))
	for i, c := range candidates {
		c.Cached = 0
		plain[i] = c
	}
	return plain
}
