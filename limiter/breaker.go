package limiter

import "time"

const (
	// breakerFailures is the number of failures in a row that open a breaker.
	breakerFailures = 3
	// breakerFirst and breakerLongest bound how long a breaker stays open.
	breakerFirst   = 250 * time.Millisecond
	breakerLongest = 8 * time.Second
)

// Breaker is the circuit breaker of one upstream. It is immutable; the zero
// value is closed.
type Breaker struct {
	// failures counts the failures since the last success.
	failures int
	// until is when an open breaker lets a probe through.
	until time.Time
}

// Allows reports whether a call may be sent.
func (b Breaker) Allows(now time.Time) bool { return !now.Before(b.until) }

// Open reports whether the last calls failed.
func (b Breaker) Open() bool { return b.failures >= breakerFailures }

// WithSuccess returns the breaker after a call that the upstream answered.
func (b Breaker) WithSuccess() Breaker { return Breaker{} }

// WithFailure returns the breaker after a call that failed.
func (b Breaker) WithFailure(now time.Time) Breaker {
	b.failures++
	if b.Open() {
		doublings := min(b.failures-breakerFailures, 8)
		b.until = now.Add(min(breakerFirst<<doublings, breakerLongest))
	}
	return b
}

// WithProbe returns the breaker after a call was let through: an open one
// keeps further calls back until the probe has ended.
func (b Breaker) WithProbe(now time.Time) Breaker {
	if b.Open() {
		b.until = now.Add(breakerLongest)
	}
	return b
}
