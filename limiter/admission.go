package limiter

import "time"

// Admission is the input to the decision whether a call may wait in an upstream's
// queue.
type Admission struct {
	// Waiting is the number of waiting calls of the new call's rank.
	Waiting int
	// Own is the number of waiting calls of the new call's rank and organisation.
	Own int
	// Organisations is the number of organisations that have calls of this rank
	// waiting; it includes the new call's organisation.
	Organisations int
	// Bound is the maximum number of waiting calls of one rank.
	Bound int
	// Wait is the time that the call is expected to wait.
	Wait time.Duration
	// Deadline is the time that the call may take; 0 means no limit.
	Deadline time.Duration
	// Begun says that an earlier call of the same program was answered.
	Begun bool
}

// newProgramPercent is the part of Bound, in percent, that calls of new programs
// may fill. The rest is reserved for calls of programs that have begun.
const newProgramPercent = 70

// Decision is the result of admission control: Admitted, Full, Late or Over.
type Decision interface{ decision() }

// Admitted says that the call may proceed.
type Admitted struct{}

// Full says that the queue has no space for the call.
type Full struct {
	// Retry is the time after which the queue is expected to have space.
	Retry time.Duration
}

// Late says that the call's deadline would expire while it waits in the queue.
type Late struct {
	// Retry is the time after which the wait is expected to fit the deadline.
	Retry time.Duration
}

func (Admitted) decision() {}
func (Full) decision()     {}
func (Late) decision()     {}

// full reports whether the queue has no space for the call. An organisation with
// less than its equal share of the queue is admitted even if others have filled
// the queue.
func (a Admission) full() bool {
	bound := a.Bound
	if !a.Begun {
		bound = bound * newProgramPercent / 100
	}
	share := bound / max(1, a.Organisations)
	return a.Waiting >= max(1, bound) && a.Own >= max(1, share)
}

// Decide returns Admitted, Full or Late.
func (a Admission) Decide() Decision {
	switch {
	case a.full():
		return Full{Retry: max(a.Wait, time.Second)}
	case a.Deadline > 0 && a.Wait > a.Deadline:
		return Late{Retry: a.Wait - a.Deadline}
	}
	return Admitted{}
}
