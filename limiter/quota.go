package limiter

import (
	"time"

	"golang.org/x/time/rate"
)

// Quota bounds what one organisation may send to one host. The zero value has
// no bounds.
type Quota struct {
	// Rate is the calls a second of the organisation on all hosts; 0 is no limit.
	Rate int
	// Running is the calls under way on all hosts; 0 is no limit.
	Running int
	// Hosts is the number of live hosts, between which the bounds are divided.
	Hosts int
}

// share returns a host's part of a bound, at least 1.
func (q Quota) share(bound int) float64 {
	return max(1, float64(bound)/float64(max(1, q.Hosts)))
}

// Usage is what one organisation uses of its quota on one host. The zero value
// has used nothing.
type Usage struct {
	running int
	tokens  *rate.Limiter
	rate    float64
}

// Over says that a quota is used up.
type Over struct {
	// Retry is when the next call may be sent.
	Retry time.Duration
}

func (Over) decision() {}

// overRunning is when to ask again while too many calls are under way.
const overRunning = time.Second

// Begin counts a call, where the quota allows it. Every admitted call has to
// be ended with End.
func (u *Usage) Begin(q Quota, now time.Time) Decision {
	if q.Running > 0 && float64(u.running) >= q.share(q.Running) {
		return Over{Retry: overRunning}
	}
	if q.Rate > 0 {
		if wait := u.take(q.share(q.Rate), now); wait > 0 {
			return Over{Retry: wait}
		}
	}
	u.running++
	return Admitted{}
}

// End counts a call as ended.
func (u *Usage) End() { u.running-- }

// take takes one call out of the rate and returns 0, or how long to wait.
func (u *Usage) take(perSecond float64, now time.Time) time.Duration {
	if u.tokens == nil || u.rate != perSecond {
		// A second's worth may come at once.
		u.tokens = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		u.rate = perSecond
	}
	if u.tokens.AllowN(now, 1) {
		return 0
	}
	missing := 1 - u.tokens.TokensAt(now)
	return time.Duration(missing / perSecond * float64(time.Second))
}
