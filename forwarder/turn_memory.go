package forwarder

import (
	"time"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/refuser"
)

// largeTurnBytes is the size of the input of a turn from which on it counts as large. Together,
// large turns take a part of the memory for turns that are kept, so that usual ones find room.
const largeTurnBytes = 256 << 10

// isLarge reports whether the turn is to be kept and counts as large.
func (t *turn) isLarge() bool { return t.kind.Retain && len(t.input) >= largeTurnBytes }

// admitLarge returns the outcome of a large turn that is to be kept, if there is no memory for
// it or the store is known not to record it in time, and nil otherwise.
func (e *exchange) admitLarge(t *turn, now time.Time) Outcome {
	if !t.isLarge() {
		return nil
	}
	t.left = e.remaining(now)
	if o := e.refuseUnrecorded(t, now); o != nil {
		return o
	}
	var ok bool
	if t.place, ok = e.config.LargeTurns.Add(int64(len(t.input)), t.kind.Retention, now); ok {
		return nil
	}
	return refused(refuser.New(refuser.Memory, "the memory for large turns is used up").WithRetry(allocator.RetryShed()))
}

// reserveChain takes the memory for the earlier turns that precede the input of a turn. It returns
// the outcome of the request if there is none.
func (e *exchange) reserveChain(t *turn, bytes int) Outcome {
	t.memory = e.config.Memory.Grant()
	if err := t.memory.Resize(int64(bytes)); err != nil {
		return refused(refuser.New(refuser.Memory, "no memory for the earlier turns: %w", err).WithRetry(allocator.RetryShed()))
	}
	return nil
}

// release gives the memory of the turn back, and its place among the large turns unless it may
// have been recorded.
func (t *turn) release() {
	if t.memory != nil {
		t.memory.Release()
	}
	if !t.mayBeRecorded {
		t.place.Withdraw()
	}
}
