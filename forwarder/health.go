package forwarder

import (
	"math"
	"time"
)

const (
	// healthHalfLife is the time in which results lose half of their weight, so that
	// an upstream that has recovered is tried again.
	healthHalfLife = 2 * time.Second
	// priorWeight is the weight of the assumption that an upstream is healthy,
	// expressed as a number of good results.
	priorWeight = 2
	// failureCost is the time that a failed request is assumed to cost its caller: a
	// program has to repeat a failed turn, and a program ends when one of its service
	// calls fails.
	failureCost = 2 * time.Second
	// toleratedFailureRate is the failure rate up to which failures do not influence
	// the choice of an upstream.
	toleratedFailureRate = 0.03
	// toleratedSlowdown is the slowdown up to which an upstream does not count as
	// slow. A slowdown is the duration of a request relative to the service's
	// average.
	toleratedSlowdown = 1.5
	// speedPriorWeight is the weight of the assumption that an upstream is as fast as the
	// mean of its service, as a number of requests. It is low: the uneven speeds of upstreams
	// are no fault, and a choice in proportion to them evens out errors.
	speedPriorWeight = 0.5
)

// health has the failure rate and the slowdown of an upstream, computed from the
// results and durations of requests. Slowdown is the duration of a request relative
// to the service's average. The weight of results decays with a half-life of
// healthHalfLife. The zero value describes an upstream without results.
type health struct {
	// failures and results are the decayed numbers of failed and of all requests;
	// failures is at most results.
	failures, results float64
	// slowdownSum is the decayed sum of the measured slowdowns, each multiplied by
	// its weight, and slowdownWeight is the decayed sum of the weights.
	slowdownSum, slowdownWeight float64
	// updatedAt is the time up to which the sums have decayed.
	updatedAt time.Time
}

// decayed returns h with its sums decayed to a later time.
func (h health) decayed(now time.Time) health {
	if age := now.Sub(h.updatedAt); age > 0 {
		remaining := math.Exp2(-float64(age) / float64(healthHalfLife))
		h.failures *= remaining
		h.results *= remaining
		h.slowdownSum *= remaining
		h.slowdownWeight *= remaining
	}
	h.updatedAt = now
	return h
}

// WithResult returns h with one more result. weight is how much the result counts as
// a failure: 0 for a success and 1 for a complete failure.
func (h health) WithResult(weight float64, now time.Time) health {
	h = h.decayed(now)
	h.results++
	h.failures += weight
	return h
}

// WithTime returns h with one more measured slowdown: a duration relative to the
// service's average. The measurement has the given weight in the mean slowdown.
func (h health) WithTime(slowdown, weight float64, now time.Time) health {
	h = h.decayed(now)
	h.slowdownSum += slowdown * weight
	h.slowdownWeight += weight
	return h
}

// WithRemoteLoad returns h with the reports of other hosts. The report of each host has
// the weight of one result.
func (h health) WithRemoteLoad(l UpstreamLoad, now time.Time) health {
	h = h.decayed(now)
	h.failures += l.FailureRateSum
	h.results += float64(l.FailureReports)
	h.slowdownSum += l.SlowdownSum
	h.slowdownWeight += float64(l.SlowdownReports)
	return h
}

// failureRate returns the expected share of requests that fail, from 0 to 1. overdue
// is the number of requests whose responses are overdue; these count as failed.
func (h health) failureRate(overdue int, now time.Time) float64 {
	h = h.decayed(now)
	late := float64(overdue)
	return (h.failures + late) / (h.results + late + priorWeight)
}

// expectedSlowdown returns the expected duration of a request relative to the
// service's average.
func (h health) expectedSlowdown(now time.Time) float64 {
	h = h.decayed(now)
	return (h.slowdownSum + priorWeight) / (h.slowdownWeight + priorWeight)
}

// relativeTime returns the expected duration of a request relative to the service's average,
// the closer to 1 the fewer durations were measured lately.
func (h health) relativeTime(now time.Time) float64 {
	h = h.decayed(now)
	return max(minRelativeTime, (h.slowdownSum+speedPriorWeight)/(h.slowdownWeight+speedPriorWeight))
}

// minRelativeTime bounds the capacity that an upstream is credited with: one that answers at
// once may do so because it fails.
const minRelativeTime = 0.25

// cost returns the delay that failures and slowness of the upstream are expected to
// cause to a request. overdue is the number of overdue responses of the upstream, and
// usual is the average duration of a request to the service.
func (h health) cost(overdue int, usual time.Duration, now time.Time) time.Duration {
	excessFailures := max(0, h.failureRate(overdue, now)-toleratedFailureRate)
	excessSlowdown := max(0, h.expectedSlowdown(now)-toleratedSlowdown)
	return time.Duration(excessFailures*float64(failureCost) + excessSlowdown*float64(usual))
}
