package granter

import "time"

const (
	// heldFraction of the slack bounds the unspent credits of all hosts, and startFraction of
	// it is in the bucket of a new home.
	heldFraction  = 0.25
	startFraction = 0.25
	// leastFraction of the slack is the least capacity of a bucket. Of requests that arrive at
	// random below the rate, a bucket with a smaller burst would refuse many.
	leastFraction = 0.125
	// overdraftFraction of Terms.Slack is what requests of running programs may take beyond an
	// empty bucket, which its rate then repays. A program of an organisation with a small rate,
	// which sends more for a second or two, ends in time that way.
	overdraftFraction = 0.35
	// sustainedFraction of the burst is granted anew in each window to an organisation that
	// always sends as much as it may.
	sustainedFraction = 0.5
	// reducedFraction of the slack is what all homes without a majority grant together in
	// a window, and reducedRate the part of the rate that they grant at most.
	reducedFraction = 0.35
	reducedRate     = 1.0 / 3
	// unknownShare stands for the share of live hosts while the registered ones are not known.
	unknownShare = 0.25
)

// Terms are the allowance of an organisation and how exactly it is kept. In any window, all
// hosts together send no more than Limit requests. The zero value has no limit.
type Terms struct {
	// PerSecond is the rate of requests; 0 means no limit. Burst is the number saved up.
	PerSecond, Burst float64
	Window           time.Duration
	// Excess and Slack are what the hosts may exceed the allowance by: a part of it, and a
	// number of requests. If both are 0, no credits are held in advance.
	Excess, Slack float64
}

// Limited reports whether there is a limit.
func (t Terms) Limited() bool { return t.PerSecond > 0 }

// Limit returns the number of requests that hosts may send in a window.
func (t Terms) Limit() float64 {
	return t.allowance() + t.slack()
}

// allowance returns the requests in a window that are allowed without tolerance.
func (t Terms) allowance() float64 { return t.PerSecond*t.Window.Seconds() + t.Burst }

// slack returns the requests in a window that are tolerated beyond the allowance.
func (t Terms) slack() float64 {
	return t.Excess*t.allowance() + t.Slack
}

// lowerThan reports whether t allows less than other.
func (t Terms) lowerThan(other Terms) bool {
	return t.PerSecond < other.PerSecond || t.Burst < other.Burst
}

// bucket is the rate and the capacity of a token bucket.
type bucket struct{ perSecond, capacity float64 }

// full returns the bucket of a home that the majority of hosts follows.
func (t Terms) full() bucket {
	return bucket{perSecond: t.PerSecond, capacity: max(1, t.Burst, leastFraction*t.slack())}
}

// sustained returns the bucket of a home that keeps the allowance of each window. An
// organisation that always sends as much as it may gets a part of the burst in each window.
func (t Terms) sustained() bucket {
	b := t.full()
	if t.Window > 0 {
		b.perSecond += sustainedFraction * t.Burst / t.Window.Seconds()
	}
	return b
}

// overdraft returns how far requests of running programs may overdraw the bucket.
func (t Terms) overdraft() float64 { return overdraftFraction * t.Slack }

// reduced returns the bucket of a home that a share of the hosts follows, while the others may
// follow another one.
func (t Terms) reduced(share float64) bucket {
	rate := t.PerSecond * reducedRate
	if t.Window > 0 {
		rate = min(rate, reducedFraction*t.slack()/t.Window.Seconds())
	}
	return bucket{perSecond: rate * share, capacity: max(1, startFraction*t.slack()*share)}
}

// start returns the level of a new home's bucket.
func (t Terms) start() float64 { return min(t.full().capacity, startFraction*t.slack()) }

// fill returns the level after a time. A level above the capacity, with which a new home
// started, is kept.
func (b bucket) fill(level, start float64, elapsed time.Duration) float64 {
	return min(level+elapsed.Seconds()*b.perSecond, max(b.capacity, min(level, start)))
}

// until returns how long the bucket takes to get from a level to another one.
func (b bucket) until(level, target float64) time.Duration {
	if b.perSecond <= 0 {
		return maxRetry
	}
	return min(maxRetry, time.Duration(max(0, target-level)/b.perSecond*float64(time.Second)))
}

// Standing is what a host knows of its place among the hosts.
type Standing struct {
	// Home is true if the host is the home of the organisation in its own view.
	Home bool
	// Live is the number of live hosts in its view, itself included, and Registered the number
	// of hosts that the store lists; 0 if that is not known.
	Live, Registered int
	// First is true if the first of the registered hosts is live. It decides between two
	// halves.
	First bool
	// Resumed is when the host started or was last resumed after a pause, and Stable when
	// its view last changed.
	Resumed, Stable time.Duration
}

// majority reports whether the host sees more than half of the hosts.
func (s Standing) majority() bool {
	return s.Registered > 0 && (2*s.Live > s.Registered || 2*s.Live == s.Registered && s.First)
}

// share returns the part of the registered hosts that n hosts are.
func (s Standing) share(n int) float64 {
	if s.Registered == 0 {
		return unknownShare
	}
	return min(1, float64(n)/float64(s.Registered))
}

// pauseAfter is the time between two ticks from which a host counts as paused.
const pauseAfter = time.Second

// Continuity follows how long a host has run without a pause. The zero value has not started.
type Continuity struct {
	last, since time.Duration
	started     bool
}

// WithTick returns the continuity after the host has run at now.
func (c Continuity) WithTick(now time.Duration) Continuity {
	if !c.started || now-c.last > pauseAfter {
		c.started, c.since = true, now
	}
	c.last = max(c.last, now)
	return c
}

// Since returns when the host started or was last resumed.
func (c Continuity) Since() time.Duration { return c.since }
