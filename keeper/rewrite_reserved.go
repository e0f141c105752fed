package keeper

import (
	"time"

	"github.com/citronpier/citronpier/recorder"
)

// rewriteReserved queues the allowances and reservations whose records were last written before
// the cutoff, those of other homes included: such a home may have died, and what it let run
// counts for as long as the program does. The allowance of a program that is idle at this home
// is given back instead. The caller holds mu.
func (s *shard) rewriteReserved(cutoff time.Time) error {
	for program, a := range s.accounts {
		if err := s.rewriteAllowances(program, a, cutoff); err != nil {
			return err
		}
		if err := s.rewriteReservations(program, a, cutoff); err != nil {
			return err
		}
	}
	return nil
}

// rewriteAllowances queues the allowances of a program. The caller holds mu.
func (s *shard) rewriteAllowances(program string, a *account, cutoff time.Time) error {
	if a.escrow.Allowance > 0 && a.allowanceWritten.Before(cutoff) {
		a.shrinkAllowance()
		if a.isIdle(cutoff) || a.escrow.Allowance == 0 {
			return s.releaseAllowance(program, a)
		}
		if err := s.rewriteAllowance(program, s.keeper.config.Incarnation); err != nil {
			return err
		}
	}
	for writer, other := range a.otherAllowances {
		if other.amount == 0 || !other.written.Before(cutoff) {
			continue
		}
		if err := s.rewriteAllowance(program, writer); err != nil {
			return err
		}
	}
	return nil
}

// shrinkAllowance reduces this home's allowance to what it would ask for now, or to what is
// unrecorded under it: the next home counts all of it as spent.
func (a *account) shrinkAllowance() {
	needed := max(a.escrow.WantedAllowance(), a.escrow.Unrecorded)
	a.escrow.Allowance = min(a.escrow.Allowance, needed)
	a.requestedAllowance = a.escrow.Allowance
}

// isIdle reports whether no turn of the program runs at this home and none has since a time.
func (a *account) isIdle(since time.Time) bool {
	for _, res := range a.reservations {
		if res.held() {
			return false
		}
	}
	return a.lastUsed.Before(since)
}

// rewriteAllowance queues the allowance of a home. The caller holds mu.
func (s *shard) rewriteAllowance(program, writer string) error {
	key := rewriteKey{program: program, writer: writer}
	return s.enqueueRewrite(key, newChange(program, rewriteAllowanceChange{writer: writer}))
}

// rewriteReservations queues the reservations of a program. The caller holds mu.
func (s *shard) rewriteReservations(program string, a *account, cutoff time.Time) error {
	for turn, res := range a.reservations {
		for _, writer := range res.expiring(s.keeper.config.Incarnation, cutoff) {
			key := rewriteKey{program: program, writer: writer, turn: turn}
			c := newChange(program, rewriteReservationChange{writer: writer, turn: turn})
			if err := s.enqueueRewrite(key, c); err != nil {
				return err
			}
		}
	}
	return nil
}

// expiring returns the homes whose records of the reservation were last written before the
// cutoff. self is the incarnation of this home.
func (r *reservation) expiring(self string, cutoff time.Time) []string {
	var writers []string
	if r.held() && r.recorded && !r.settled && r.written.Before(cutoff) {
		writers = append(writers, self)
	}
	for writer, written := range r.holders {
		if written.Before(cutoff) {
			writers = append(writers, writer)
		}
	}
	return writers
}

// addReservationCopy adds a home's reservation to a batch, if the home still holds it. The
// caller holds mu.
func (s *shard) addReservationCopy(b *batch, program string, k rewriteReservationChange) {
	a, ok := s.accounts[program]
	if !ok {
		return
	}
	res, ok := a.reservations[k.turn]
	if !ok {
		return
	}
	_, held := res.holders[k.writer]
	if k.writer == s.keeper.config.Incarnation {
		held = held || (res.held() && !res.settled)
	}
	if !held {
		return
	}
	message := b.messageOf(k.writer)
	message.Holds = append(message.Holds, &recorder.Hold{
		Program: program, Turn: k.turn, Most: res.maxTokens, Retention: a.retention.Milliseconds(),
	})
}

// addAllowanceCopy adds a home's present allowance to a batch, if it has one. The caller holds
// mu.
func (s *shard) addAllowanceCopy(b *batch, program string, k rewriteAllowanceChange) {
	a, ok := s.accounts[program]
	if !ok {
		return
	}
	amount := a.otherAllowances[k.writer].amount
	if k.writer == s.keeper.config.Incarnation {
		amount = a.escrow.Allowance
	}
	if amount == 0 {
		return
	}
	message := b.messageOf(k.writer)
	message.Allowances = append(message.Allowances, &recorder.Allowance{Program: program, Amount: amount})
}

// applyRewrittenReservation notes that a home's reservation was written again. A reservation
// has this home as a holder only from before the shard moved away and back.
func (a *account) applyRewrittenReservation(writer, turn string, now time.Time) {
	res, ok := a.reservations[turn]
	if !ok {
		return
	}
	if _, other := res.holders[writer]; other {
		res.holders[writer] = now
		return
	}
	res.written = now
}

// applyRewrittenAllowance notes that a home's allowance was written again.
func (a *account) applyRewrittenAllowance(writer string, now time.Time) {
	if other, ok := a.otherAllowances[writer]; ok {
		a.otherAllowances[writer] = otherAllowance{amount: other.amount, written: now}
		return
	}
	a.allowanceWritten = now
}
