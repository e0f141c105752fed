package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
)

// Candidate is an upstream that could run a call, with its expected state.
type Candidate struct {
	Upstream descriptor.Upstream
	// Wait is the expected time before the upstream begins the call.
	Wait time.Duration
	// Cached is the number of the call's prompt tokens in the upstream's cache.
	Cached int64
	// BreakerOpen is true if the circuit breaker of the upstream is open: recent
	// calls to the upstream failed, and it should be avoided.
	BreakerOpen bool
}

// Request describes the call for which an upstream is chosen.
type Request struct {
	// Key is hashed to spread calls over upstreams of equal cost; calls with the
	// same key prefer the same upstreams.
	Key string
	// Prompt is the estimated length of the prompt in tokens.
	Prompt int64
	// DataCentre is the data centre of the host that makes the choice.
	DataCentre string
	// Prefill is the time that an engine takes for one uncached prompt token; 0
	// means defaultPrefill.
	Prefill time.Duration
	// Distance is the cost of a call to another data centre; 0 means
	// defaultDistance.
	Distance time.Duration
}

// prefill returns the time for one uncached prompt token, with the default applied.
func (r Request) prefill() time.Duration {
	if r.Prefill > 0 {
		return r.Prefill
	}
	return defaultPrefill
}

// distance returns the cost of a call to another data centre, with the default
// applied.
func (r Request) distance() time.Duration {
	if r.Distance > 0 {
		return r.Distance
	}
	return defaultDistance
}

const (
	// defaultPrefill is the time that an engine takes for one uncached prompt
	// token. It is the value of the simulated engines that trials run against.
	defaultPrefill = 100 * time.Microsecond
	// defaultDistance is the added cost of a call to another data centre.
	defaultDistance = 2 * time.Millisecond
	// breakerOpenCost is the added cost of an upstream whose breaker is open. Another
	// upstream is preferred unless its own cost is a minute higher.
	breakerOpenCost = time.Minute
	// hashedAlternatives is how many upstreams Sample picks by hash in the host's own
	// data centre, and how many more it picks in any data centre.
	hashedAlternatives = 2
)

// Cost returns the expected delay of a call on a candidate.
func (c Candidate) Cost(r Request) time.Duration {
	cost := c.Wait + r.prefill()*time.Duration(max(0, r.Prompt-c.Cached))
	if c.Upstream.DataCentre != r.DataCentre {
		cost += r.distance()
	}
	if c.BreakerOpen {
		cost += breakerOpenCost
	}
	return cost
}

// Choose returns the candidate with the lowest cost, or false if there are no
// candidates. Among candidates of equal cost, it returns the candidate with the
// highest rendezvous hash of r.Key.
func Choose(candidates []Candidate, r Request) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	best, leastCost := 0, candidates[0].Cost(r)
	for i := 1; i < len(candidates); i++ {
		cost := candidates[i].Cost(r)
		if cost < leastCost || (cost == leastCost && hashWeight(r.Key, candidates[i]) > hashWeight(r.Key, candidates[best])) {
			best, leastCost = i, cost
		}
	}
	return candidates[best], true
}

// maxCompareAll is the number of upstreams up to which Sample returns all of them.
const maxCompareAll = 32

// Sample returns the upstreams that should be compared for a call. If there are at
// most maxCompareAll upstreams, it returns all of them. Otherwise it returns the
// upstream with the ID cachedOn, which has the program's prompt in its cache, and a
// few alternatives picked by a hash of r.Key (power of two choices, Mitzenmacher
// 2001): first some in the host's own data centre, then some in any data centre. An
// upstream may occur twice.
func Sample(upstreams []descriptor.Upstream, cachedOn string, r Request) []descriptor.Upstream {
	if len(upstreams) <= maxCompareAll {
		return upstreams
	}
	chosen := make([]descriptor.Upstream, 0, 1+2*hashedAlternatives)
	hash := xxhash.Sum64String(r.Key)
	local := 0
	for i := range upstreams {
		// Scan from a start index that depends on the hash, so that calls with
		// different keys get different upstreams of the host's own data centre.
		u := upstreams[(hash+uint64(i))%uint64(len(upstreams))]
		switch {
		case u.ID == cachedOn:
			chosen = append(chosen, u)
		case local < hashedAlternatives && u.DataCentre == r.DataCentre:
			chosen = append(chosen, u)
			local++
		}
	}
	for i := range uint64(hashedAlternatives) {
		chosen = append(chosen, upstreams[(hash>>32+i*hash)%uint64(len(upstreams))])
	}
	return chosen
}

// hashWeight returns the rendezvous hash of a key and a candidate.
func hashWeight(key string, c Candidate) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(c.Upstream.ID)
	return d.Sum64()
}
