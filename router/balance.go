package router

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Weighted is a candidate of a balanced choice.
type Weighted struct {
	Candidate
	// Spare is the capacity that the upstream is expected to have left, in any unit that all
	// candidates share.
	Spare float64
}

// ChooseBalanced returns one of the candidates whose costs differ from the lowest by less than
// the uncertainty of the costs, or false if there are no candidates. It is for hosts that
// choose at the same time by the same figures, which are somewhat old: if all took the exact
// minimum, they would overload one upstream after another. Candidates are chosen in proportion
// to their spare capacity, the less the closer their cost is to the end of that range. The
// choice is a hash of r.Key.
func ChooseBalanced(candidates []Weighted, r Request, uncertainty time.Duration) (Weighted, bool) {
	if len(candidates) == 0 {
		return Weighted{}, false
	}
	best, least := 0, candidates[0].Cost(r)
	for i := 1; i < len(candidates); i++ {
		if cost := candidates[i].Cost(r); cost < least {
			best, least = i, cost
		}
	}
	total := 0.0
	for i := range candidates {
		total += candidates[i].weight(r, least, uncertainty)
	}
	target := fraction(r.Key) * total
	for i := range candidates {
		weight := candidates[i].weight(r, least, uncertainty)
		if target < weight {
			return candidates[i], true
		}
		target -= weight
	}
	return candidates[best], true
}

// weight returns the weight of a candidate in a choice with the given lowest cost.
func (c *Weighted) weight(r Request, least, uncertainty time.Duration) float64 {
	excess := c.Cost(r) - least
	if excess > 0 && excess >= uncertainty {
		return 0
	}
	return c.Spare * (1 - float64(excess)/float64(max(1, uncertainty)))
}

// fraction returns a number in [0, 1) that depends on a key.
func fraction(key string) float64 {
	return float64(xxhash.Sum64String("balance/"+key)>>11) / (1 << 53)
}
