package keeper

import (
	"time"

	"github.com/citronpier/citronpier/recorder"
)

const (
	// permitShare is the share of a program's budget that a permit covers, in per cent. Most
	// programs use a quarter of their budget.
	permitShare = 25
	// maxPermitShares bounds the sum of the shares of all open permits of a shard, in per cent:
	// half of the budget of a new program is left to the home whatever happened to earlier ones.
	maxPermitShares = 50
	// permitDelay is how long an append is under way before the store counts as unavailable
	// and the permit is used. Appends take 5 to 20 ms.
	permitDelay = 100 * time.Millisecond
	// permitValidity is how long a permit may be used after the home was last known to be at
	// the end of the partition. Another home's record ends the use, and a home that can't read
	// it stops after this time.
	permitValidity = 20 * time.Second
	// permitRetry is the time until a permit is recorded again after it was closed, or other
	// permits left no share for it. A host that stops does not open it again.
	permitRetry = time.Minute
	// supersededRetry is the same after another home has written: the previous home writes its
	// last records soon after the shard has moved.
	supersededRetry = 5 * time.Second
	// clockMargin is how much longer than permitValidity a later home waits, in multiples of it.
	clockMargin = 2
)

// permit is this home's right to reserve a share of the budgets of programs that no record names,
// without a record of the reservation. It is recorded before it is used, as an allowance without a
// program. A later home counts the share as spent for each program unless the program was named in
// the partition before the permit, or this home has recorded an allowance for the program.
type permit struct {
	// share is the recorded share of each budget, in per cent; 0 if no permit is open.
	share int64
	// built is the share in the batch that was built last.
	built int64
	// valid is set while no other home has written since the permit was recorded, and the
	// permit is not to be closed.
	valid bool
	// closing is set until the permit that this home gives up is closed in the store.
	closing bool
	// pending is the queued record of the permit, or nil.
	pending *change
	// written is when the permit was last written to the store.
	written time.Time
	// notBefore is when the permit may be recorded next.
	notBefore time.Time
	// used is set once a turn has run under the permit since the last append.
	used bool
}

// permitChange records the permit of the home with the incarnation writer, or closes it.
type permitChange struct {
	writer string
	// action is what is done to the permit.
	action permitAction
}

type permitAction int

const (
	openPermit permitAction = iota
	rewritePermit
	closePermit
)

func (permitChange) kind() {}

// requestPermit defers the record of this home's permit to the next append, unless there is a
// permit. The caller holds mu.
func (s *shard) requestPermit(now time.Time) {
	p := &s.permit
	if p.valid || p.closing || now.Before(p.notBefore) || (p.pending != nil && !p.pending.isComplete()) {
		return
	}
	p.pending = newChange("", permitChange{writer: s.keeper.config.Incarnation, action: openPermit})
	s.deferred = append(s.deferred, p.pending)
}

// permitFor returns how much of a program's budget this home may reserve under its permit. The
// caller holds mu.
func (s *shard) permitFor(a *account, now time.Time) int64 {
	if !s.permit.valid || a.known || elapsed(s.atEnd, now) > permitValidity {
		return 0
	}
	return permitAmount(a.escrow.Budget, s.permit.share)
}

func permitAmount(budget, share int64) int64 { return budget * share / 100 }

// elapsed returns the time since an earlier time, by the monotonic or by the wall clock,
// whichever has advanced further: the monotonic clock stands still while the host is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// takesNoAppends reports whether an append has been under way for longer than permitDelay.
func (s *shard) takesNoAppends(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.appending.IsZero() && now.Sub(s.appending) >= permitDelay
}

// coverByPermit lets a turn run whose reservation waits for its record, if the permit covers
// everything that is not recorded of its program.
func (s *shard) coverByPermit(program, turn string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.accounts[program]
	if !ok {
		return false
	}
	res, ok := a.reservations[turn]
	if !ok || !res.held() || res.settled {
		return false
	}
	if amount := s.permitFor(a, now); a.escrow.Unrecorded <= amount && a.escrow.Left() >= 0 {
		s.usePermit(a, res, amount)
		return true
	}
	return false
}

// usePermit notes that a turn runs under the permit. The caller holds mu.
func (s *shard) usePermit(a *account, res *reservation, amount int64) {
	res.permitted = true
	a.permitted = max(a.permitted, amount)
	s.keeper.config.Counters.Stages.Add("permitted", 1)
	if !s.permit.used {
		s.permit.used = true
		s.logger.Info().Int64("share_percent", s.permit.share).Msg("store takes no appends, turns run under the permit")
	}
}

// recordedAllowance returns the amount to record for an allowance of this home. It is at least
// what the home may have reserved under its permit until the record is in the store: the
// allowance replaces the permit. The caller holds mu.
func (s *shard) recordedAllowance(program string, amount int64) int64 {
	a, ok := s.accounts[program]
	if !ok || amount == 0 {
		return amount
	}
	if s.permit.valid && !a.known {
		a.permitted = max(a.permitted, permitAmount(a.escrow.Budget, s.permit.share))
	}
	a.builtAllowance = max(amount, a.permitted)
	return a.builtAllowance
}

// addPermit adds a permit's record to a batch. The caller holds mu.
func (s *shard) addPermit(b *batch, k permitChange) {
	share := int64(0)
	switch {
	case k.action == closePermit && k.writer == s.keeper.config.Incarnation:
	case k.action == closePermit:
		if o, ok := s.otherPermits[k.writer]; !ok || !s.mayClose(o, time.Now()) {
			return
		}
	case k.action == rewritePermit:
		share = s.otherPermits[k.writer].share
	default:
		share = s.ownShare()
		s.permit.built = share
	}
	if share == 0 && k.action != closePermit {
		return
	}
	message := b.messageOf(k.writer)
	message.Allowances = append(message.Allowances, &recorder.Allowance{Amount: share})
}

// ownShare returns the share that this home's permit may have beside those of other homes. The
// caller holds mu.
func (s *shard) ownShare() int64 {
	left := int64(maxPermitShares)
	for _, o := range s.otherPermits {
		left -= o.share
	}
	return max(0, min(permitShare, left))
}

// applyPermit applies a permit's record that is in the store since now. The caller holds mu.
func (s *shard) applyPermit(k permitChange, now time.Time) {
	switch {
	case k.action == closePermit && k.writer == s.keeper.config.Incarnation:
		s.permit.share, s.permit.closing = 0, false
		s.logger.Info().Msg("permit closed")
	case k.action == closePermit:
		if o, ok := s.otherPermits[k.writer]; ok && s.mayClose(o, now) {
			s.dropPermit(k.writer)
			s.logger.Info().Str("home", k.writer).Msg("permit of an earlier home closed")
		}
	case k.action == rewritePermit:
		if o, ok := s.otherPermits[k.writer]; ok {
			o.written = now
			s.otherPermits[k.writer] = o
		}
	case s.permit.built == 0:
		s.permit.notBefore = now.Add(permitRetry)
	default:
		s.permit.share, s.permit.valid, s.permit.written = s.permit.built, !s.permit.closing, now
		s.logger.Info().Int64("share_percent", s.permit.share).Msg("permit recorded")
	}
}

// supersedePermit ends the use of this home's permit because another home has written. The caller
// holds mu.
func (s *shard) supersedePermit(now time.Time) {
	if !s.permit.valid {
		return
	}
	s.permit.valid = false
	s.permit.notBefore = now.Add(supersededRetry)
	s.logger.Info().Msg("another home has written, permit not used until it is recorded again")
}

// tendPermits closes permits of earlier homes that are no longer in use, and writes the others
// and this home's own again before the store drops them.
func (s *shard) tendPermits(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for writer, o := range s.otherPermits {
		action := rewritePermit
		switch {
		case s.mayClose(o, now):
			action = closePermit
		case !s.isExpiring(o.written, now):
			continue
		}
		if err := s.enqueueRewrite(rewriteKey{writer: writer}, newChange("", permitChange{writer: writer, action: action})); err != nil {
			s.logger.Warn().Err(err).Msg("permit of an earlier home not written, trying again later")
		}
	}
	if s.permit.valid && s.isExpiring(s.permit.written, now) {
		own := s.keeper.config.Incarnation
		if err := s.enqueueRewrite(rewriteKey{writer: own}, newChange("", permitChange{writer: own, action: openPermit})); err != nil {
			s.logger.Warn().Err(err).Msg("permit not written, trying again later")
		}
	}
}

// isExpiring reports whether a record of the given age has to be written again.
func (s *shard) isExpiring(written, now time.Time) bool {
	retention := s.keeper.config.Retention
	return retention > 0 && written.Before(now.Add(-retention/rewriteDivisor))
}

// releasePermit closes this home's permit once everything that may have been reserved under it
// is in the store. From now on the permit covers no further turn. The caller holds mu.
func (s *shard) releasePermit(now time.Time) error {
	s.permit.valid = false
	s.permit.notBefore = now.Add(permitRetry)
	opening := s.permit.pending != nil && !s.permit.pending.isComplete()
	if s.permit.closing || (s.permit.share == 0 && !opening) {
		return nil
	}
	for program, a := range s.accounts {
		if a.escrow.Unrecorded == 0 {
			continue
		}
		if err := s.enqueueUnrecorded(program, a); err != nil {
			return err
		}
	}
	s.flushDeferredLocked()
	own := permitChange{writer: s.keeper.config.Incarnation, action: closePermit}
	if err := s.enqueue(newChange("", own)); err != nil {
		return err
	}
	s.permit.closing = true
	return nil
}

// enqueueUnrecorded queues everything of an account that is not in the store. The caller holds
// mu.
func (s *shard) enqueueUnrecorded(program string, a *account) error {
	if _, err := s.enqueueReservations(program, a); err != nil {
		return err
	}
	s.flushDeferredLocked()
	for turn, res := range a.reservations {
		if !res.settled || res.recorded {
			continue
		}
		if err := s.enqueue(newChange(program, settlementChange{turn: turn, generated: res.generated})); err != nil {
			return err
		}
	}
	return nil
}
