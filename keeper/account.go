package keeper

import (
	"time"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
)

// account is the budget state of one program and its open reservations.
type account struct {
	escrow budgeter.Escrow
	// reservations holds, by turn, the reservations whose settlement is not in the
	// store yet.
	reservations map[string]*reservation
	// otherAllowances holds the allowances of other homes, by the incarnation of the
	// home.
	otherAllowances map[string]int64
	// requestedAllowance is the allowance that this home has recorded or queued for
	// recording; 0 if there is no such allowance.
	requestedAllowance int64
	// retention determines how long the account is kept after lastUsed.
	retention time.Duration
	lastUsed  time.Time
	// sumWritten is when the sum of settlements was last written to the store or, without
	// a record of the sum, when the oldest settlement that was read was written. It is
	// zero until one of them is read or rewriteSums is called.
	sumWritten time.Time
}

// reservation is the part of a budget that is set aside for one turn. All amounts
// are in tokens.
type reservation struct {
	// maxTokens is the maximum that the turn can generate.
	maxTokens int64
	// generated is what the turn generated. It is valid once settled is set.
	generated int64
	// settled is set once the turn has ended.
	settled bool
	// recorded is set once the reservation is in the store.
	recorded bool
	// change is the queued record of the reservation, or nil.
	change *change
}

// applyOtherReservation applies a reservation that another home recorded.
func (a *account) applyOtherReservation(turn string, maxTokens int64) {
	if _, ok := a.reservations[turn]; ok {
		return
	}
	a.reservations[turn] = &reservation{maxTokens: maxTokens, recorded: true}
	a.escrow.Reserved += maxTokens
}

// applyOtherSettlement applies a settlement that another home recorded. A turn
// without a reservation was covered by the other home's allowance. The whole allowance
// already counts as spent, and the turn's tokens are nevertheless added to Settled. So
// these tokens may be counted twice.
// written is when the settlement was written to the store.
func (a *account) applyOtherSettlement(turn string, generated int64, written time.Time) {
	if a.sumWritten.IsZero() {
		a.sumWritten = written
	}
	res, ok := a.reservations[turn]
	if !ok {
		a.escrow.Settled += generated
		return
	}
	delete(a.reservations, turn)
	if !res.settled {
		a.escrow = a.escrow.WithSettled(res.maxTokens, generated, res.recorded)
	}
	if !res.recorded {
		a.escrow = a.escrow.WithRecorded(min(res.maxTokens, generated))
	}
}

// applyOtherSpending applies a sum of settlements that another home recorded. The
// recorded sum and the sum in memory may include the same settlements, so they are not
// added. The recorded sum may lack the newest settlements, and the sum in memory may
// lack settlements that the store dropped before this home read the partition. So the
// larger sum is kept. written is when the sum was written to the store.
func (a *account) applyOtherSpending(settled int64, written time.Time) {
	if settled < a.escrow.Settled {
		return
	}
	a.escrow.Settled = settled
	a.sumWritten = written
}

// applyOtherAllowance applies an allowance that another home recorded. It replaces
// that home's earlier allowance.
func (a *account) applyOtherAllowance(writer string, amount int64) {
	if a.otherAllowances == nil {
		a.otherAllowances = make(map[string]int64)
	}
	a.escrow.OtherAllowances += amount - a.otherAllowances[writer]
	a.otherAllowances[writer] = amount
}

// applyRecorded applies a change of this home that is now in the store.
func (a *account) applyRecorded(c *change) {
	switch k := c.kind.(type) {
	case reservationChange:
		res, ok := a.reservations[k.turn]
		if !ok || res.recorded {
			return
		}
		res.recorded = true
		res.change = nil
		amount := res.maxTokens
		if res.settled {
			amount = res.generated
		}
		a.escrow = a.escrow.WithRecorded(amount)
	case turnChange:
		a.applyRecordedSettlement(k.turn.GetId())
	case settlementChange:
		a.applyRecordedSettlement(k.turn)
	case rewriteSpendingChange:
		a.sumWritten = k.taken
	case allowanceChange:
		a.escrow.Allowance = k.amount
	}
}

// applyRecordedSettlement drops the reservation of a turn whose settlement is now
// in the store.
func (a *account) applyRecordedSettlement(turn string) {
	res, ok := a.reservations[turn]
	if !ok {
		return
	}
	delete(a.reservations, turn)
	if !res.recorded {
		a.escrow = a.escrow.WithRecorded(res.generated)
	}
}

// settle settles a turn's reservation in memory. It returns false if the turn has
// no reservation or was settled before.
func (a *account) settle(turn string, generated int64) bool {
	res, ok := a.reservations[turn]
	if !ok || res.settled {
		return false
	}
	res.settled = true
	res.generated = min(res.maxTokens, max(0, generated))
	a.escrow = a.escrow.WithSettled(res.maxTokens, res.generated, res.recorded)
	return true
}

// reserve sets aside the maximum number of tokens that a turn can generate, if the
// budget covers them. A repeated call for the same turn reserves nothing more; it returns
// an *EndedError if the turn's reservation was settled meanwhile. If
// the verdict is RecordFirst, the caller waits for the returned change, if there is
// one, and tries again. If it is EscrowReserved, the turn may run once the returned
// change, if there is one, is in the store: a turn that no record and no allowance
// covers is run by the first home of a shard only, because each home that dies may
// leave one.
func (s *shard) reserve(r *messenger.BeginRequest, now time.Time) (budgeter.Verdict, *change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.GetProgram(), time.Duration(r.GetRetention())*time.Millisecond, now)
	a.escrow.Budget = r.GetBudget()
	if res, ok := a.reservations[r.GetTurn()]; ok {
		if res.settled {
			return nil, nil, &EndedError{Turn: r.GetTurn()}
		}
		return budgeter.EscrowReserved{}, s.changeBeforeRun(res), nil
	}
	escrow, verdict := a.escrow.WithReservation(r.GetMost())
	switch v := verdict.(type) {
	case budgeter.RecordFirst:
		pending, err := s.recordReservations(r.GetProgram(), a)
		return v, pending, err
	case budgeter.EscrowReserved:
		a.escrow = escrow
		res := &reservation{maxTokens: r.GetMost()}
		a.reservations[r.GetTurn()] = res
		if v.RecordNow {
			_, err := s.recordReservations(r.GetProgram(), a)
			return v, s.changeBeforeRun(res), err
		}
	}
	return verdict, nil, nil
}

// EndedError reports that a turn which is to begin has ended or was given up before.
type EndedError struct{ Turn string }

// Error returns a message with the turn's id.
func (e *EndedError) Error() string { return "turn " + e.Turn + " has ended already" }

// changeBeforeRun returns the queued record of a reservation if it has to be in the store
// before the turn runs, and nil otherwise. The caller holds mu.
func (s *shard) changeBeforeRun(res *reservation) *change {
	if !s.hadOtherWriter {
		return nil
	}
	return res.change
}

// recordReservations queues the account's unrecorded reservations for the store,
// and an allowance if this home has none. It returns one of the queued changes, or nil
// if nothing is left to write. A caller that waits for the returned change then calls
// reserve again, so it need not wait for the other changes: if too much is still
// unrecorded, reserve returns another change to wait for. The caller holds mu.
func (s *shard) recordReservations(program string, a *account) (*change, error) {
	pending, err := s.enqueueReservations(program, a)
	if err != nil {
		return nil, err
	}
	if wanted := a.escrow.WantedAllowance(); a.requestedAllowance == 0 && wanted > 0 {
		pending = newChange(program, allowanceChange{amount: wanted})
		if err := s.enqueue(pending); err != nil {
			return nil, err
		}
		a.requestedAllowance = wanted
	}
	if pending == nil {
		// All unrecorded reservations are settled. Their settlements may be among
		// the deferred changes, so the deferred changes are queued now.
		pending = s.flushDeferredLocked()
	}
	return pending, nil
}

// enqueueReservations queues the account's unrecorded open reservations for the
// store. It returns one of the queued changes, or nil if there is none. The caller
// holds mu.
func (s *shard) enqueueReservations(program string, a *account) (*change, error) {
	var pending *change
	for turn, res := range a.reservations {
		if res.recorded || res.settled {
			continue
		}
		if res.change == nil {
			res.change = newChange(program, reservationChange{turn: turn, maxTokens: res.maxTokens, retention: a.retention})
			if err := s.enqueue(res.change); err != nil {
				res.change = nil
				return nil, err
			}
		}
		pending = res.change
	}
	return pending, nil
}

// settle settles a turn's reservation in memory. The settlement of a turn that is
// not retained is deferred to the next append. A retained turn needs no separate
// settlement: its record also settles the reservation in the store.
func (s *shard) settle(r *messenger.EndRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessionUpstreams.set(r.GetSession(), r.GetUpstream(), now)
	s.programUpstreams.set(r.GetProgram(), r.GetUpstream(), now)
	a, ok := s.accounts[r.GetProgram()]
	if !ok {
		return
	}
	a.lastUsed = now
	if a.settle(r.GetTurn(), r.GetGenerated()) && !r.GetRetain() {
		s.deferred = append(s.deferred, newChange(r.GetProgram(), settlementChange{turn: r.GetTurn(), generated: r.GetGenerated()}))
	}
}

// deferSettlement defers the settlement of a turn to the next append. It is called
// for turns that are recorded in a fallback shard: the record there does not settle
// the reservation in this shard.
func (s *shard) deferSettlement(r *messenger.EndRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferred = append(s.deferred, newChange(r.GetProgram(), settlementChange{turn: r.GetTurn(), generated: r.GetGenerated()}))
}

// releaseAllowances gives back the allowances of this home. Open reservations that
// an allowance covered until now are recorded first.
func (s *shard) releaseAllowances() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for program, a := range s.accounts {
		if a.requestedAllowance == 0 {
			continue
		}
		a.requestedAllowance = 0
		// From now on the allowance covers no further turn, although the record
		// that gives the allowance back is not in the store yet.
		a.escrow.Allowance = 0
		_, err := s.enqueueReservations(program, a)
		if err == nil {
			err = s.enqueue(newChange(program, allowanceChange{}))
		}
		if err != nil {
			s.logger.Warn().Err(err).Str("program", program).Msg("allowance not released")
		}
	}
}

// turnRecord returns the store's record of a completely answered turn.
func turnRecord(r *messenger.EndRequest) *recorder.Turn {
	return &recorder.Turn{
		Id:        r.GetTurn(),
		Previous:  r.GetPrevious(),
		Input:     r.GetInput(),
		Output:    r.GetOutput(),
		Retention: r.GetRetention(),
		Program:   r.GetProgram(),
		Session:   r.GetSession(),
		Generated: r.GetGenerated(),
	}
}
