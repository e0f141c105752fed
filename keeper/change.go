package keeper

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/recorder"
)

// change is a record that is to be appended to a shard.
type change struct {
	program string
	kind    kind
	// done is closed when the append has ended and err is set.
	done chan struct{}
	// err is the error that prevented the append; nil if the change is in the store.
	err error
}

// kind is the content of a change; its type determines which record is written.
type kind interface{ kind() }

// turnChange records a completely answered turn and settles its reservation.
type turnChange struct {
	turn *recorder.Turn
	// previousChain is the text of the previous turn and of all turns before it. It
	// is nil if the shard already has these turns or there is no previous turn.
	previousChain []byte
}

// reservationChange records a reservation of maxTokens tokens for a turn, or, with 0, withdraws
// the one that this home has recorded.
type reservationChange struct {
	turn      string
	maxTokens int64
	// retention is how long the program's account is kept after its last use.
	retention time.Duration
}

// settlementChange settles the reservation of a turn with the number of tokens that
// the turn generated.
type settlementChange struct {
	turn      string
	generated int64
}

// allowanceChange sets the allowance of this home for a program: the number of
// tokens that the home may reserve before the reservations are recorded. 0 gives
// the allowance back.
type allowanceChange struct{ amount int64 }

// rewriteTurnChange writes a turn again before the store drops its older record.
type rewriteTurnChange struct{ turn *recorder.Turn }

// rewriteSpendingChange writes the sum of a program's settlements that are in the store, before
// the store drops them.
type rewriteSpendingChange struct {
	// retention is how long the program's account is kept after its last use.
	retention time.Duration
	// taken is when the sum was taken.
	taken time.Time
}

// rewriteReservationChange writes the reservation of a home for a turn again before the store
// drops its older record. The home is named by its incarnation and may be this one.
type rewriteReservationChange struct{ writer, turn string }

// rewriteAllowanceChange does the same for the allowance of a home.
type rewriteAllowanceChange struct{ writer string }

// bindingChange records which build began the stream of an attempt.
type bindingChange struct {
	attempt string
	build   descriptor.Build
	// retention is how long the request asked to keep the binding, in milliseconds.
	retention int64
}

func (turnChange) kind()               {}
func (rewriteTurnChange) kind()        {}
func (rewriteSpendingChange) kind()    {}
func (reservationChange) kind()        {}
func (settlementChange) kind()         {}
func (allowanceChange) kind()          {}
func (rewriteReservationChange) kind() {}
func (rewriteAllowanceChange) kind()   {}
func (bindingChange) kind()            {}

// newChange returns a change that is not queued yet.
func newChange(program string, k kind) *change {
	return &change{program: program, kind: k, done: make(chan struct{})}
}

// complete sets the result of the append and wakes the goroutines that wait for it.
func (c *change) complete(err error) {
	c.err = err
	close(c.done)
}

// isComplete reports whether the append has ended.
func (c *change) isComplete() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// estimatedBytes returns the approximate size of the change's record.
func (c *change) estimatedBytes() int {
	const recordOverhead = 64
	switch k := c.kind.(type) {
	case turnChange:
		return recordOverhead + len(k.previousChain) + len(k.turn.GetInput()) + len(k.turn.GetOutput())
	case rewriteTurnChange:
		return recordOverhead + len(k.turn.GetInput()) + len(k.turn.GetOutput())
	default:
		return recordOverhead
	}
}

// estimatedBytes returns the approximate size of the records of changes together.
func estimatedBytes(changes []*change) int {
	size := 0
	for _, c := range changes {
		size += c.estimatedBytes()
	}
	return size
}

// turnIDs returns the ids of the turns that changes record, for logs.
func turnIDs(changes []*change) []string {
	var ids []string
	for _, c := range changes {
		switch k := c.kind.(type) {
		case turnChange:
			ids = append(ids, k.turn.GetId())
		case rewriteTurnChange:
			ids = append(ids, k.turn.GetId())
		}
	}
	return ids
}

// addTo adds the change's record to a batch. The caller holds the shard's mu.
func (c *change) addTo(to *batch, s *shard) {
	b := to.message
	switch k := c.kind.(type) {
	case turnChange:
		s.addTurnRecords(b, k)
	case rewriteReservationChange:
		s.addReservationCopy(to, c.program, k)
	case rewriteAllowanceChange:
		s.addAllowanceCopy(to, c.program, k)
	case rewriteTurnChange:
		b.Turns = append(b.Turns, k.turn)
	case rewriteSpendingChange:
		if a, ok := s.accounts[c.program]; ok {
			b.Spendings = append(b.Spendings, &recorder.Spending{
				Program: c.program, Settled: a.recordedSpending(), Retention: k.retention.Milliseconds(),
			})
		}
	case reservationChange:
		b.Holds = append(b.Holds, &recorder.Hold{
			Program: c.program, Turn: k.turn, Most: k.maxTokens, Retention: k.retention.Milliseconds(),
		})
	case settlementChange:
		b.Settlements = append(b.Settlements, &recorder.Settlement{
			Program: c.program, Turn: k.turn, Generated: k.generated,
		})
	case allowanceChange:
		b.Allowances = append(b.Allowances, &recorder.Allowance{Program: c.program, Amount: k.amount})
	case bindingChange:
		b.Bindings = append(b.Bindings, &recorder.Binding{
			Attempt: k.attempt, Service: k.build.Service, Version: k.build.Version, Retention: k.retention,
		})
	}
}
