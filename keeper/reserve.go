package keeper

import (
	"time"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
)

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
	if a.ended.has(r.GetTurn()) || a.withdrawn.has(r.GetTurn()) {
		return nil, nil, &EndedError{Turn: r.GetTurn()}
	}
	if res, ok := a.reservations[r.GetTurn()]; ok {
		if res.settled {
			return nil, nil, &EndedError{Turn: r.GetTurn()}
		}
		err := s.hold(r.GetProgram(), a, res)
		return budgeter.EscrowReserved{}, s.changeBeforeRun(res), err
	}
	escrow, verdict := a.escrow.WithReservation(r.GetMost())
	switch v := verdict.(type) {
	case budgeter.RecordFirst:
		pending, err := s.recordReservations(r.GetProgram(), a)
		return v, pending, err
	case budgeter.EscrowReserved:
		a.escrow = escrow
		res := &reservation{maxTokens: r.GetMost(), claims: 1}
		a.reservations[r.GetTurn()] = res
		if v.RecordNow {
			_, err := s.recordReservations(r.GetProgram(), a)
			return v, s.changeBeforeRun(res), err
		}
	}
	return verdict, nil, nil
}

// hold makes this home hold a reservation that is known, from its own earlier Begin or from
// another home's record. Its own record is needed before the turn runs: the other home may
// withdraw. The caller holds mu.
func (s *shard) hold(program string, a *account, res *reservation) error {
	if !res.held() {
		res.recorded = false
		a.escrow.Unrecorded += res.maxTokens
	}
	res.claims++
	if res.recorded || s.isFirstHome() {
		return nil
	}
	_, err := s.enqueueReservations(program, a)
	return err
}

// withdraw gives up what one call of Begin has reserved at this home, and that no turn runs
// under. The turn may run under an earlier call, or under the reservation of another home.
// Without an earlier call, a later Begin of the turn at this home is refused.
func (s *shard) withdraw(r *messenger.BeginRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[r.GetProgram()]
	if !ok {
		return
	}
	res, ok := a.reservations[r.GetTurn()]
	if !ok || !res.held() || res.settled {
		return
	}
	if res.claims--; res.held() {
		return
	}
	res.change = nil
	if !res.recorded && len(res.holders) > 0 {
		res.recorded = true
		a.escrow = a.escrow.WithRecorded(res.maxTokens)
	}
	a.withdrawn.add(r.GetTurn(), 0)
	a.dropUnheld(r.GetTurn(), res)
	s.deferred = append(s.deferred, newChange(r.GetProgram(), reservationChange{turn: r.GetTurn(), retention: a.retention}))
}

// EndedError reports that a turn which is to begin has ended or was given up before.
type EndedError struct{ Turn string }

// Error returns a message with the turn's id.
func (e *EndedError) Error() string { return "turn " + e.Turn + " has ended already" }

// isOverdrawn reports whether more is reserved of a program's budget than is left, because other
// homes have reserved it while a record of this one was on its way. Their records come first.
func (s *shard) isOverdrawn(program string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[program]
	return ok && a.escrow.Left() < 0
}

// changeBeforeRun returns the queued record of a reservation if it has to be in the store
// before the turn runs, and nil otherwise. The caller holds mu.
func (s *shard) changeBeforeRun(res *reservation) *change {
	if s.isFirstHome() {
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
		if !res.held() || res.recorded || res.settled {
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
	if !ok && !r.GetRetain() {
		return
	}
	if !ok {
		// The turn's record counts, also where the account is only read later.
		a = s.account(r.GetProgram(), time.Duration(r.GetRetention())*time.Millisecond, now)
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

// releaseAllowances gives back the allowances of this home.
func (s *shard) releaseAllowances() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for program, a := range s.accounts {
		if a.requestedAllowance == 0 {
			continue
		}
		if err := s.releaseAllowance(program, a); err != nil {
			s.logger.Warn().Err(err).Str("program", program).Msg("allowance not released")
		}
	}
}

// releaseAllowance gives back this home's allowance for a program. Open reservations that it
// covered until now are recorded first. From now on the allowance covers no further turn,
// although the record that gives it back is not in the store yet. The caller holds mu.
func (s *shard) releaseAllowance(program string, a *account) error {
	a.requestedAllowance = 0
	a.escrow.Allowance = 0
	if _, err := s.enqueueReservations(program, a); err != nil {
		return err
	}
	return s.enqueue(newChange(program, allowanceChange{}))
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
