package admitter

import (
	"time"

	"github.com/citronpier/citronpier/limiter"
)

const (
	// retryShare is the number of retries a second that is allowed for each request a second:
	// a program fails if a tool call does, and upstreams refuse at little cost. minRetries is
	// the number that is always allowed: an upstream that ends fails all that it runs, also on
	// a host with few requests.
	retryShare = 0.5
	minRetries = 5
	// newProgramShare is the part of the budget that first turns may use.
	newProgramShare = 0.5
)

// retryBudget bounds the requests that are sent again, as a mean over some seconds. It is
// immutable, and the zero value has counted nothing.
type retryBudget struct{ requests, retries limiter.Meter }

// WithRequest returns b after a request has arrived.
func (b retryBudget) WithRequest(now time.Time) retryBudget {
	b.requests = b.requests.WithRequest(now)
	return b
}

// WithRetry returns b after a request was sent again.
func (b retryBudget) WithRetry(now time.Time) retryBudget {
	b.retries = b.retries.WithRequest(now)
	return b
}

// Allows reports whether a request may be sent again.
func (b retryBudget) Allows(begun bool, now time.Time) bool {
	allowed := max(minRetries, retryShare*b.requests.Rate(now))
	if !begun {
		allowed *= newProgramShare
	}
	return b.retries.Rate(now) < allowed
}
