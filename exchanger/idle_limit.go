package exchanger

import "time"

const (
	// minIdleLimit is the lower bound of the idle limit. A connection that was
	// idle for less time has just been returned to the pool and is always used.
	minIdleLimit = 10 * time.Millisecond
	// idleLimitDoubling is the time in which the idle limit doubles again after
	// the loss of a connection has lowered it.
	idleLimitDoubling = 2 * time.Second
	// idleLossWindow decides why a reused connection failed: if it fails within this
	// time after the start of Send, the upstream is assumed to have dropped the
	// connection while it was idle. The window is somewhat longer than one round trip to
	// the upstream.
	idleLossWindow = 25 * time.Millisecond
)

// idleLimit is the longest time that a connection may have been idle to be used
// again. Upstreams may drop idle connections without notice, and the next
// request on such a connection is lost. Each such loss lowers the limit, which
// then recovers over time. The zero value allows maxIdleTimeout.
type idleLimit struct {
	duration time.Duration
	// setAt is when duration was set; the limit doubles from then on.
	setAt time.Time
}

// maxIdle returns the limit that applies at the time now.
func (l idleLimit) maxIdle(now time.Time) time.Duration {
	if l.duration == 0 {
		return maxIdleTimeout
	}
	duration := l.duration
	for age := now.Sub(l.setAt); age >= idleLimitDoubling && duration < maxIdleTimeout; age -= idleLimitDoubling {
		duration *= 2
	}
	return min(duration, maxIdleTimeout)
}

// WithLoss returns the limit that applies after a connection was lost that had
// been idle for idleFor: half that time, but no more than the current limit.
func (l idleLimit) WithLoss(idleFor time.Duration, now time.Time) idleLimit {
	return idleLimit{duration: max(minIdleLimit, min(idleFor/2, l.maxIdle(now))), setAt: now}
}
