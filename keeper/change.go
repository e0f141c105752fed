package keeper

import (
	"time"

	"github.com/citronpier/citronpier/recorder"
)

// change is a record on its way to the store.
type change struct {
	program string
	kind    kind
	// done is closed once err is set.
	done chan struct{}
	err  error
}

// kind is what a change records.
type kind interface{ kind() }

// turnChange records a turn that was answered whole, and settles its hold.
type turnChange struct {
	turn *recorder.Turn
	// origin is the chain of the previous turn, where that is of another shard.
	origin []byte
}

// holdChange holds the most of a turn.
type holdChange struct {
	turn      string
	most      int64
	retention time.Duration
}

// settleChange settles a hold.
type settleChange struct {
	turn      string
	generated int64
}

// allowanceChange sets this home's allowance.
type allowanceChange struct{ amount int64 }

// renewChange writes a turn again before the store drops it.
type renewChange struct{ turn *recorder.Turn }

// spendChange writes again what a program's ended turns have generated.
type spendChange struct {
	settled   int64
	retention time.Duration
}

func (turnChange) kind()      {}
func (renewChange) kind()     {}
func (spendChange) kind()     {}
func (holdChange) kind()      {}
func (settleChange) kind()    {}
func (allowanceChange) kind() {}

func newChange(program string, k kind) *change {
	return &change{program: program, kind: k, done: make(chan struct{})}
}

func (c *change) finish(err error) {
	c.err = err
	close(c.done)
}

// size estimates the change's record in bytes.
func (c *change) size() int {
	const small = 64
	switch k := c.kind.(type) {
	case turnChange:
		return small + len(k.origin) + len(k.turn.GetInput()) + len(k.turn.GetOutput())
	case renewChange:
		return small + len(k.turn.GetInput()) + len(k.turn.GetOutput())
	default:
		return small
	}
}

// addTo adds the change's record to a batch.
func (c *change) addTo(b *recorder.ShardBatch, s *shard) {
	switch k := c.kind.(type) {
	case turnChange:
		s.buildTurn(b, k)
	case renewChange:
		b.Turns = append(b.Turns, k.turn)
	case spendChange:
		b.Spendings = append(b.Spendings, &recorder.Spending{
			Program: c.program, Settled: k.settled, Retention: k.retention.Milliseconds(),
		})
	case holdChange:
		b.Holds = append(b.Holds, &recorder.Hold{
			Program: c.program, Turn: k.turn, Most: k.most, Retention: k.retention.Milliseconds(),
		})
	case settleChange:
		b.Settlements = append(b.Settlements, &recorder.Settlement{
			Program: c.program, Turn: k.turn, Generated: k.generated,
		})
	case allowanceChange:
		b.Allowances = append(b.Allowances, &recorder.Allowance{Program: c.program, Amount: k.amount})
	}
}
