package keeper

import (
	"time"

	"github.com/citronpier/citronpier/budgeter"
)

// account is the budget state of one program and its open reservations.
type account struct {
	escrow budgeter.Escrow
	// reservations holds, by turn, the reservations whose settlement is not in the
	// store yet.
	reservations map[string]*reservation
	// ended has the turns that were settled lately, also by other homes. withdrawn has those
	// for which this home has withdrawn its reservation.
	ended, withdrawn recentTurns
	// otherAllowances holds the allowances of other homes, by the incarnation of the
	// home.
	otherAllowances map[string]otherAllowance
	// requestedAllowance is the allowance that this home has recorded or queued for
	// recording; 0 if there is no such allowance. allowanceWritten is when it was last
	// written to the store.
	requestedAllowance int64
	allowanceWritten   time.Time
	// retention determines how long the account is kept after lastUsed.
	retention time.Duration
	lastUsed  time.Time
	// sumWritten is when the sum of settlements was last written to the store or, without
	// a record of the sum, when the oldest settlement that was read was written. It is
	// zero until one of them is read or rewriteSums is called.
	sumWritten time.Time
}

// otherAllowance is the allowance of another home, in tokens, and when its record was last
// written to the store.
type otherAllowance struct {
	amount  int64
	written time.Time
}

// reservation is the part of a budget that is set aside for one turn. Several homes may hold
// it: an entry host that gives up on one home asks the next one. All amounts are in tokens.
type reservation struct {
	// maxTokens is the maximum that the turn can generate.
	maxTokens int64
	// generated is what the turn generated. It is valid once settled is set.
	generated int64
	// settled is set once the turn has ended at this home.
	settled bool
	// claims is the number of calls of Begin at this home under which the turn may run: the
	// reservation is held by this home while there is one. A turn runs only under a
	// reservation of the home that let it run, whatever other homes hold.
	claims int
	// holders has the other homes whose records hold the reservation, by incarnation, and when
	// the record was last written to the store.
	holders map[string]time.Time
	// recorded is set once the reservation of each home that holds it is in the store. written
	// is when this home's record was last written there.
	recorded bool
	written  time.Time
	// change is the queued record of this home's reservation, or nil.
	change *change
}

// applyOtherReservation applies a reservation that another home recorded. One of 0 tokens
// withdraws the home's earlier reservation for the turn. written is when the reservation was
// written to the store.
func (a *account) applyOtherReservation(writer, turn string, maxTokens int64, written time.Time) {
	if maxTokens <= 0 {
		a.applyOtherWithdrawal(writer, turn)
		return
	}
	if a.ended.has(turn) {
		return
	}
	res, ok := a.reservations[turn]
	if !ok {
		res = &reservation{maxTokens: maxTokens, recorded: true}
		a.reservations[turn] = res
		a.escrow.Reserved += maxTokens
	}
	if res.holders == nil {
		res.holders = make(map[string]time.Time)
	}
	res.holders[writer] = written
}

// applyOtherWithdrawal applies another home's withdrawal of its reservation for a turn. The
// turn may run under the reservation of a further home.
func (a *account) applyOtherWithdrawal(writer, turn string) {
	res, ok := a.reservations[turn]
	if !ok {
		return
	}
	delete(res.holders, writer)
	a.dropUnheld(turn, res)
}

// dropUnheld drops a reservation that no home holds any more. It is not settled: a turn
// that ended was held.
func (a *account) dropUnheld(turn string, res *reservation) {
	if res.held() || res.settled || len(res.holders) > 0 {
		return
	}
	delete(a.reservations, turn)
	a.escrow = a.escrow.WithSettled(res.maxTokens, 0, res.recorded)
}

// applyOtherSettlement applies a settlement that another home recorded. A turn
// without a reservation was covered by the other home's allowance. The whole allowance
// already counts as spent, and the turn's tokens are nevertheless added to Settled. So
// these tokens may be counted twice. Of several settlements of a turn the largest counts.
// written is when the settlement was written to the store.
func (a *account) applyOtherSettlement(turn string, generated int64, written time.Time) {
	if a.sumWritten.IsZero() {
		a.sumWritten = written
	}
	res, ok := a.reservations[turn]
	if ok && !res.settled {
		a.escrow = a.escrow.WithSettled(res.maxTokens, res.settle(generated), res.recorded)
		a.ended.add(turn, res.generated)
	} else {
		a.escrow.Settled += a.ended.add(turn, generated)
	}
	if ok {
		a.dropSettled(turn, res)
	}
}

// dropSettled drops the reservation of a turn whose settlement is in the store.
func (a *account) dropSettled(turn string, res *reservation) {
	delete(a.reservations, turn)
	if !res.recorded {
		a.escrow = a.escrow.WithRecorded(res.generated)
	}
}

// held reports whether this home holds the reservation.
func (r *reservation) held() bool { return r.claims > 0 }

// settle marks the turn of a reservation as ended. It returns what the turn generated, which
// is at most what was reserved.
func (r *reservation) settle(generated int64) int64 {
	r.settled = true
	r.generated = min(r.maxTokens, max(0, generated))
	return r.generated
}

// unrecordedSettlements returns the tokens of the turns that have ended at this home and whose
// settlements are not in the store yet. They are a part of the escrow's Settled.
func (a *account) unrecordedSettlements() int64 {
	sum := int64(0)
	for _, res := range a.reservations {
		if res.settled {
			sum += res.generated
		}
	}
	return sum
}

// recordedSpending returns the sum of the settlements that are in the store, as far as this
// home knows.
func (a *account) recordedSpending() int64 { return a.escrow.Settled - a.unrecordedSettlements() }

// applyOtherSpending applies a sum of settlements that another home recorded. It includes all
// settlements that were in the store before it. The sum in memory may lack some that the store
// dropped before this home read the partition, and has those that this home has not recorded
// yet. written is when the sum was written to the store.
func (a *account) applyOtherSpending(settled int64, written time.Time) {
	recorded := a.recordedSpending()
	if settled < recorded {
		return
	}
	a.escrow.Settled += settled - recorded
	a.sumWritten = written
}

// applyOtherAllowance applies an allowance that another home recorded. It replaces
// that home's earlier allowance. written is when it was written to the store.
func (a *account) applyOtherAllowance(writer string, amount int64, written time.Time) {
	if a.otherAllowances == nil {
		a.otherAllowances = make(map[string]otherAllowance)
	}
	a.escrow.OtherAllowances += amount - a.otherAllowances[writer].amount
	a.otherAllowances[writer] = otherAllowance{amount: amount, written: written}
}

// applyRecorded applies a change of this home that is in the store since now.
func (a *account) applyRecorded(c *change, now time.Time) {
	switch k := c.kind.(type) {
	case reservationChange:
		a.applyRecordedReservation(c, k.turn, now)
	case turnChange:
		a.applyRecordedSettlement(k.turn.GetId(), k.turn.GetGenerated())
	case settlementChange:
		a.applyRecordedSettlement(k.turn, k.generated)
	case rewriteSpendingChange:
		a.sumWritten = k.taken
	case allowanceChange:
		a.escrow.Allowance = k.amount
		a.allowanceWritten = now
	case rewriteReservationChange:
		a.applyRewrittenReservation(k.writer, k.turn, now)
	case rewriteAllowanceChange:
		a.applyRewrittenAllowance(k.writer, now)
	}
}

// applyRecordedReservation marks this home's reservation for a turn as recorded.
func (a *account) applyRecordedReservation(c *change, turn string, now time.Time) {
	res, ok := a.reservations[turn]
	if !ok || res.change != c {
		return
	}
	res.recorded, res.written = true, now
	res.change = nil
	amount := res.maxTokens
	if res.settled {
		amount = res.generated
	}
	a.escrow = a.escrow.WithRecorded(amount)
}

// applyRecordedSettlement drops the reservation of a turn whose settlement is now
// in the store.
func (a *account) applyRecordedSettlement(turn string, generated int64) {
	res, ok := a.reservations[turn]
	if !ok {
		return
	}
	if !res.settled {
		// Another home's reservation was read after the turn had ended here.
		a.escrow = a.escrow.WithSettled(res.maxTokens, res.settle(generated), res.recorded)
	}
	a.dropSettled(turn, res)
}

// settle settles a turn's reservation in memory. It returns false if the turn was settled
// before. A turn without a reservation runs under that of another home, which this one has
// not read yet.
func (a *account) settle(turn string, generated int64) bool {
	if a.ended.has(turn) {
		return false
	}
	res, ok := a.reservations[turn]
	if !ok {
		res = &reservation{maxTokens: max(0, generated)}
		a.reservations[turn] = res
		a.escrow.Reserved += res.maxTokens
		a.escrow.Unrecorded += res.maxTokens
	}
	a.escrow = a.escrow.WithSettled(res.maxTokens, res.settle(generated), res.recorded)
	a.ended.add(turn, res.generated)
	return true
}
