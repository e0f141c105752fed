package limiter

import "time"

const (
	// openAfterFailures is the number of consecutive failures that open a breaker.
	openAfterFailures = 3
	// minOpenTime is how long a breaker stays open at first. Each further failure
	// doubles the time, up to maxOpenTime.
	minOpenTime = 250 * time.Millisecond
	maxOpenTime = 8 * time.Second
)

// Breaker is the circuit breaker of one upstream. It is immutable; the zero
// value is closed.
type Breaker struct {
	// failures is the number of consecutive failures.
	failures int
	// blockedUntil is the time before which an open breaker lets no call through.
	// The first call after it is the probe.
	blockedUntil time.Time
}

// Allows reports whether a call may be sent, that is, whether the breaker is closed, or
// is open and a probe (a trial call while the breaker is open) is due.
func (b Breaker) Allows(now time.Time) bool { return !now.Before(b.blockedUntil) }

// Open reports whether the breaker is open, that is, whether the last calls to the
// upstream all failed. A breaker stays open until a probe succeeds.
func (b Breaker) Open() bool { return b.failures >= openAfterFailures }

// WithSuccess returns the breaker after the upstream has answered a call. The returned
// breaker is closed.
func (b Breaker) WithSuccess() Breaker { return Breaker{} }

// WithFailure returns the breaker after a call has failed.
func (b Breaker) WithFailure(now time.Time) Breaker {
	b.failures++
	if b.Open() {
		doublings := min(b.failures-openAfterFailures, 8)
		b.blockedUntil = now.Add(min(minOpenTime<<doublings, maxOpenTime))
	}
	return b
}

// WithProbe returns the breaker after a call was let through. If the breaker is
// open, this call is the probe, and further calls are blocked until its result
// is known, or for maxOpenTime if no result comes.
func (b Breaker) WithProbe(now time.Time) Breaker {
	if b.Open() {
		b.blockedUntil = now.Add(maxOpenTime)
	}
	return b
}
