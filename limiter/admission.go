package limiter

import "time"

// Admission is the state that the decision to let a call wait depends on.
type Admission struct {
	// Waiting counts the waiting calls of the call's rank.
	Waiting int
	// Own counts those of the call's organisation.
	Own int
	// Organisations counts the organisations that wait, the call's own included.
	Organisations int
	// Bound is the most calls of one rank that may wait.
	Bound int
	// Wait is how long the call is expected to wait.
	Wait time.Duration
	// Deadline is how long the call may take; 0 is no bound.
	Deadline time.Duration
	// Begun says that the call's program has had a call answered.
	Begun bool
}

// newShare is the part of a bound, in percent, that new programs may fill.
// The rest is kept for the next calls of running ones.
const newShare = 70

// Decision is the answer to a call that asks to wait.
type Decision interface{ decision() }

// Admitted says that the call may wait.
type Admitted struct{}

// Full says that the queue has no room for the call.
type Full struct {
	// Retry is when room is expected.
	Retry time.Duration
}

// Late says that the call would pass its deadline in the queue.
type Late struct {
	// Retry is when the wait is expected to be short enough.
	Retry time.Duration
}

func (Admitted) decision() {}
func (Full) decision()     {}
func (Late) decision()     {}

// full reports whether the queue has no room for the call. An organisation
// that has less than an equal share of the queue is let in beside one that has
// filled it.
func (a Admission) full() bool {
	bound := a.Bound
	if !a.Begun {
		bound = bound * newShare / 100
	}
	share := bound / max(1, a.Organisations)
	return a.Waiting >= max(1, bound) && a.Own >= max(1, share)
}

// Decide says whether a call may wait.
func (a Admission) Decide() Decision {
	switch {
	case a.full():
		return Full{Retry: max(a.Wait, time.Second)}
	case a.Deadline > 0 && a.Wait > a.Deadline:
		return Late{Retry: a.Wait - a.Deadline}
	}
	return Admitted{}
}
