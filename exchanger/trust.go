package exchanger

import "time"

const (
	// leastTrust is the shortest rest after which a connection is used again
	// whatever happened: one that was just given back.
	leastTrust = 10 * time.Millisecond
	// trustDoubles is the time in which the trust in resting connections doubles
	// after one was lost.
	trustDoubles = 2 * time.Second
	// lostSoon bounds the time within which a connection that its upstream had
	// dropped while it rested fails: a way to the upstream and back, and some.
	lostSoon = 25 * time.Millisecond
)

// trust is how long a connection may have rested to be used again. Upstreams may
// drop resting connections without notice, and what is sent next is lost. The
// zero value trusts each connection as long as its upstream promised.
type trust struct {
	limit time.Duration
	// since is when the limit was set.
	since time.Time
}

// at returns the longest rest at a time.
func (t trust) at(now time.Time) time.Duration {
	if t.limit == 0 {
		return longestIdle
	}
	limit := t.limit
	for age := now.Sub(t.since); age >= trustDoubles && limit < longestIdle; age -= trustDoubles {
		limit *= 2
	}
	return min(limit, longestIdle)
}

// WithLoss returns t after a connection was lost that had rested for a time.
func (t trust) WithLoss(rested time.Duration, now time.Time) trust {
	return trust{limit: max(leastTrust, min(rested/2, t.at(now))), since: now}
}
