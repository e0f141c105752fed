package router

import (
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
	// Prefill is the time for one prompt token that an upstream does not hold;
	// 0 is that of the trial's engines.
	Prefill time.Duration
	// Distance is the cost of leaving the data centre; 0 is the usual one.
	Distance time.Duration
}

// prefill returns the time for one prompt token that is not held.
func (r Request) prefill() time.Duration {
	if r.Prefill > 0 {
		return r.Prefill
	}
	return prefillPerToken
}

// distance returns the cost of leaving the data centre.
func (r Request) distance() time.Duration {
	if r.Distance > 0 {
		return r.Distance
	}
	return distance
}

const (
	// prefillPerToken is the time that an engine takes for one prompt token
	// that it does not hold.
	prefillPerToken = 100 * time.Microsecond
	// distance is the cost of leaving the data centre.
	distance = 2 * time.Millisecond
	// brokenCost keeps calls away from a broken upstream while others exist.
	brokenCost = time.Minute
	// hashed is the number of hashed alternatives in the own data centre, and
	// as many anywhere.
	hashed = 2
)

// Cost returns the expected delay of a call on a candidate.
func (c Candidate) Cost(r Request) time.Duration {
	cost := c.Wait + r.prefill()*time.Duration(max(0, r.Prompt-c.Cached))
	if c.Upstream.DataCentre != r.DataCentre {
		cost += r.distance()
	}
	if c.Broken {
		cost += brokenCost
	}
	return cost
}

// Choose returns the cheapest candidate, or false where there is none.
func Choose(candidates []Candidate, r Request) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	best, least := 0, candidates[0].Cost(r)
	for i := 1; i < len(candidates); i++ {
		cost := candidates[i].Cost(r)
		if cost < least || (cost == least && weight(r.Key, candidates[i]) > weight(r.Key, candidates[best])) {
			best, least = i, cost
		}
	}
	return candidates[best], true
}

// compareAll is the number of upstreams up to which all are compared.
const compareAll = 32

// Sample returns the upstreams to compare for a call: all of a few; of many,
// the one that holds the program's prompt and some hashed alternatives (power
// of two choices, Mitzenmacher 2001), those in the own data centre first.
func Sample(upstreams []descriptor.Upstream, held string, r Request) []descriptor.Upstream {
	if len(upstreams) <= compareAll {
		return upstreams
	}
	chosen := make([]descriptor.Upstream, 0, 1+2*hashed)
	sum := xxhash.Sum64String(r.Key)
	near := 0
	for i := range upstreams {
		// A walk from a hashed start: the first of the own data centre.
		u := upstreams[(sum+uint64(i))%uint64(len(upstreams))]
		switch {
		case u.ID == held:
			chosen = append(chosen, u)
		case near < hashed && u.DataCentre == r.DataCentre:
			chosen = append(chosen, u)
			near++
		}
	}
	for i := range uint64(hashed) {
		chosen = append(chosen, upstreams[(sum>>32+i*sum)%uint64(len(upstreams))])
	}
	return chosen
}

func weight(key string, c Candidate) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(c.Upstream.ID)
	return d.Sum64()
}
