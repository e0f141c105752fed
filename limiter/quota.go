package limiter

import (
	"time"

	"golang.org/x/time/rate"
)

// Quota holds the limits of one organisation. They apply to all hosts together,
// and each host enforces an equal part of them. The zero value has no limits.
type Quota struct {
	// Rate is the maximum number of calls per second on all hosts; 0 means no limit.
	Rate int
	// MaxRunning is the maximum number of concurrent calls on all hosts; 0 means no
	// limit.
	MaxRunning int
	// Hosts is the number of live hosts, among which the limits are divided.
	Hosts int
}

// share returns one host's part of a limit, at least 1.
func (q Quota) share(bound int) float64 {
	return max(1, float64(bound)/float64(max(1, q.Hosts)))
}

// Usage tracks what one organisation uses of its quota on one host. The zero value
// has used nothing. A Usage is not safe for concurrent use.
type Usage struct {
	// running is the number of calls that have begun and not ended.
	running int
	// bucket is the token bucket of the call rate, refilled with bucketRate tokens
	// per second; nil before the first call under a rate limit.
	bucket     *rate.Limiter
	bucketRate float64
}

// QuotaExceeded means that the organisation's quota is used up.
type QuotaExceeded struct {
	// Retry is the time after which the next call may be sent.
	Retry time.Duration
}

func (QuotaExceeded) decision() {}

// runningRetry is the retry time of a call that is refused because too many calls
// are running: it is not known when a running call will end.
const runningRetry = time.Second

// Begin returns Admitted and counts the call if the quota allows it, or returns
// QuotaExceeded. The caller must call End for every admitted call.
func (u *Usage) Begin(q Quota, now time.Time) Decision {
	if q.MaxRunning > 0 && float64(u.running) >= q.share(q.MaxRunning) {
		return QuotaExceeded{Retry: runningRetry}
	}
	if q.Rate > 0 {
		if wait := u.takeToken(q.share(q.Rate), now); wait > 0 {
			return QuotaExceeded{Retry: wait}
		}
	}
	u.running++
	return Admitted{}
}

// End records that an admitted call has ended.
func (u *Usage) End() { u.running-- }

// takeToken takes one token from the bucket and returns 0, or returns the time
// until the next token. A change of the rate starts a new, full bucket.
func (u *Usage) takeToken(perSecond float64, now time.Time) time.Duration {
	if u.bucket == nil || u.bucketRate != perSecond {
		// The burst is the number of calls that the rate allows in one second.
		u.bucket = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		u.bucketRate = perSecond
	}
	if u.bucket.AllowN(now, 1) {
		return 0
	}
	missing := 1 - u.bucket.TokensAt(now)
	return time.Duration(missing / perSecond * float64(time.Second))
}
