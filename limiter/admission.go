package limiter

import "time"

// Admission is the input to the decision whether a call may wait in an upstream's
// queue.
type Admission struct {
	// Waiting is the number of waiting calls of the new call's rank.
	Waiting int
	// OwnWaiting is the number of waiting calls of the new call's rank and organisation.
	OwnWaiting int
	// Organisations is the number of organisations that have calls of this rank
	// waiting; it includes the new call's organisation.
	Organisations int
	// MaxWaiting is the maximum number of waiting calls of one rank.
	MaxWaiting int
	// Wait is how long the call is expected to wait.
	Wait time.Duration
	// Deadline is the maximum duration of the call; 0 means no limit.
	Deadline time.Duration
	// Begun is true if an earlier call of the same program was answered.
	Begun bool
}

// newProgramPercent is the part of MaxWaiting, in percent, that calls of new programs
// may fill. The rest is reserved for calls of programs that have begun.
const newProgramPercent = 70

// Decision is the result of admission control: Admitted, QueueFull, DeadlineExceeded or
// QuotaExceeded.
type Decision interface{ decision() }

// Admitted means that the call may proceed.
type Admitted struct{}

// QueueFull means that the queue has no space for the call.
type QueueFull struct {
	// Retry is the time after which the queue is expected to have space.
	Retry time.Duration
}

// DeadlineExceeded means that the call's deadline would expire while it waits in
// the queue.
type DeadlineExceeded struct {
	// Retry is the time after which the wait is expected to fit the deadline.
	Retry time.Duration
}

func (Admitted) decision()         {}
func (QueueFull) decision()        {}
func (DeadlineExceeded) decision() {}

// queueFull reports whether the queue has no space for the call. An organisation with
// less than its equal share of the queue is admitted even if others have filled
// the queue.
func (a Admission) queueFull() bool {
	bound := a.MaxWaiting
	if !a.Begun {
		bound = bound * newProgramPercent / 100
	}
	share := bound / max(1, a.Organisations)
	return a.Waiting >= max(1, bound) && a.OwnWaiting >= max(1, share)
}

// Decide returns Admitted, QueueFull or DeadlineExceeded.
func (a Admission) Decide() Decision {
	switch {
	case a.queueFull():
		return QueueFull{Retry: max(a.Wait, time.Second)}
	case a.Deadline > 0 && a.Wait > a.Deadline:
		return DeadlineExceeded{Retry: a.Wait - a.Deadline}
	}
	return Admitted{}
}
