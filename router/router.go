package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
)

// Candidate is an upstream that could run a call, and what is known of it.
type Candidate struct {
	Upstream descriptor.Upstream
	// Wait is the expected time before the upstream begins the call.
	Wait time.Duration
	// Cached is the number of prompt tokens that the upstream holds.
	Cached int64
	// Broken says that the last calls to the upstream failed.
	Broken bool
}

// Request is what the choice depends on besides the candidates.
type Request struct {
	// Key spreads calls without cached prompts over the upstreams.
	Key string
	// Prompt is the estimated length of the prompt in tokens.
	Prompt int64
	// DataCentre is where the choosing host stands.
	DataCentre string
}

const (
	// prefillPerToken is the time that an engine takes for one prompt token
	// that it does not hold.
	prefillPerToken = 100 * time.Microsecond
	// distance is the cost of leaving the data centre.
	distance = 2 * time.Millisecond
	// brokenCost keeps calls away from a broken upstream while others exist.
	brokenCost = time.Minute
	// hashed is the number of candidates compared besides the cache holders.
	hashed = 2
)

// Cost returns the expected delay of a call on a candidate.
func (c Candidate) Cost(r Request) time.Duration {
	cost := c.Wait + prefillPerToken*time.Duration(max(0, r.Prompt-c.Cached))
	if c.Upstream.DataCentre != r.DataCentre {
		cost += distance
	}
	if c.Broken {
		cost += brokenCost
	}
	return cost
}

// Choose returns the cheapest candidate. Where few are given it compares all;
// among many it compares the cache holders and two hashed alternatives.
func Choose(candidates []Candidate, r Request) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(sample(candidates, r), func(a, b Candidate) int {
		if c := cmp.Compare(a.Cost(r), b.Cost(r)); c != 0 {
			return c
		}
		return cmp.Compare(weight(r.Key, b), weight(r.Key, a))
	}), true
}

// compareAll is the number of candidates up to which all are compared.
const compareAll = 32

func sample(candidates []Candidate, r Request) []Candidate {
	if len(candidates) <= compareAll {
		return candidates
	}
	var chosen, others []Candidate
	for _, c := range candidates {
		if c.Cached > 0 {
			chosen = append(chosen, c)
			continue
		}
		others = append(others, c)
	}
	slices.SortFunc(others, func(a, b Candidate) int {
		return cmp.Compare(weight(r.Key, b), weight(r.Key, a))
	})
	return append(chosen, others[:min(hashed, len(others))]...)
}

func weight(key string, c Candidate) uint64 {
	return xxhash.Sum64String(key + "\x00" + c.Upstream.ID)
}
