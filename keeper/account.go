package keeper

import (
	"time"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
)

// account is a program's budget and the turns that hold a part of it.
type account struct {
	escrow budgeter.Escrow
	turns  map[string]*hold
	// allowances has those of other homes, by their incarnation.
	allowances map[string]int64
	// asked is the allowance that this home has asked for.
	asked     int64
	retention time.Duration
	used      time.Time
	// renewed is when the sum of settlements was last written.
	renewed time.Time
}

// hold is the part of a budget that is held for one turn.
type hold struct {
	most int64
	// generated is set once the turn has ended.
	generated int64
	ended     bool
	// recorded says that the store has the hold.
	recorded bool
	// change is the hold's record on its way; nil where none is.
	change *change
}

// heldElsewhere applies another home's hold.
func (a *account) heldElsewhere(turn string, most int64) {
	if _, ok := a.turns[turn]; ok {
		return
	}
	a.turns[turn] = &hold{most: most, recorded: true}
	a.escrow.Held += most
}

// settledElsewhere applies another home's settlement. A turn without a hold was
// covered by that home's allowance, which counts as spent; what the record says
// is counted besides it.
func (a *account) settledElsewhere(turn string, generated int64) {
	h, ok := a.turns[turn]
	if !ok {
		a.escrow.Settled += generated
		return
	}
	delete(a.turns, turn)
	if !h.ended {
		a.escrow = a.escrow.WithSettled(h.most, generated, h.recorded)
	}
	if !h.recorded {
		a.escrow = a.escrow.WithRecorded(min(h.most, generated))
	}
}

// spentElsewhere applies a sum of settlements. The ones that it sums up may have
// been read as well, or be gone.
func (a *account) spentElsewhere(settled int64) { a.escrow.Settled = max(a.escrow.Settled, settled) }

// allowedElsewhere applies another home's allowance.
func (a *account) allowedElsewhere(writer string, amount int64) {
	if a.allowances == nil {
		a.allowances = make(map[string]int64)
	}
	a.escrow.Foreign += amount - a.allowances[writer]
	a.allowances[writer] = amount
}

// recorded applies a change of this home that got into the store.
func (a *account) recorded(c *change) {
	switch k := c.kind.(type) {
	case holdChange:
		h, ok := a.turns[k.turn]
		if !ok || h.recorded {
			return
		}
		h.recorded = true
		h.change = nil
		amount := h.most
		if h.ended {
			amount = h.generated
		}
		a.escrow = a.escrow.WithRecorded(amount)
	case turnChange:
		a.settleRecorded(k.turn.GetId())
	case settleChange:
		a.settleRecorded(k.turn)
	case allowanceChange:
		a.escrow.Allowance = k.amount
	}
}

func (a *account) settleRecorded(turn string) {
	h, ok := a.turns[turn]
	if !ok {
		return
	}
	delete(a.turns, turn)
	if !h.recorded {
		a.escrow = a.escrow.WithRecorded(h.generated)
	}
}

// end settles a turn in memory. It reports whether the turn was under way.
func (a *account) end(turn string, generated int64) bool {
	h, ok := a.turns[turn]
	if !ok || h.ended {
		return false
	}
	h.ended = true
	h.generated = min(h.most, max(0, generated))
	a.escrow = a.escrow.WithSettled(h.most, h.generated, h.recorded)
	return true
}

// hold holds the most of a turn, where the budget covers it. With Behind it
// returns a change to wait for.
func (s *shard) hold(r *messenger.BeginRequest, now time.Time) (budgeter.Verdict, *change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.GetProgram(), time.Duration(r.GetRetention())*time.Millisecond, now)
	a.escrow.Budget = r.GetBudget()
	if _, ok := a.turns[r.GetTurn()]; ok {
		return budgeter.Held{}, nil, nil
	}
	escrow, verdict := a.escrow.WithHold(r.GetMost())
	switch v := verdict.(type) {
	case budgeter.Behind:
		pending, err := s.recordHolds(r.GetProgram(), a)
		return v, pending, err
	case budgeter.Held:
		a.escrow = escrow
		a.turns[r.GetTurn()] = &hold{most: r.GetMost()}
		if v.Record {
			_, err := s.recordHolds(r.GetProgram(), a)
			return v, nil, err
		}
	}
	return verdict, nil, nil
}

// recordHolds has the holds of an account recorded, and asks for an allowance.
// It returns one of the changes. It needs mu to be held.
func (s *shard) recordHolds(program string, a *account) (*change, error) {
	last, err := s.submitHolds(program, a)
	if err != nil {
		return nil, err
	}
	if want := a.escrow.WantedAllowance(); a.asked == 0 && want > 0 {
		last = newChange(program, allowanceChange{amount: want})
		if err := s.submit(last); err != nil {
			return nil, err
		}
		a.asked = want
	}
	if last == nil {
		// Only ended turns are unrecorded: their settlements are on the way.
		last = s.flush()
	}
	return last, nil
}

// submitHolds has the holds of an account recorded. It returns one of the
// changes, nil where there is none. It needs mu to be held.
func (s *shard) submitHolds(program string, a *account) (*change, error) {
	var last *change
	for turn, h := range a.turns {
		if h.recorded || h.ended {
			continue
		}
		if h.change == nil {
			h.change = newChange(program, holdChange{turn: turn, most: h.most, retention: a.retention})
			if err := s.submit(h.change); err != nil {
				h.change = nil
				return nil, err
			}
		}
		last = h.change
	}
	return last, nil
}

// settle ends a turn in memory and has it recorded with the next append.
func (s *shard) settle(r *messenger.EndRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.see(r.GetSession(), r.GetUpstream(), now)
	a, ok := s.accounts[r.GetProgram()]
	if !ok {
		return
	}
	a.used = now
	if a.end(r.GetTurn(), r.GetGenerated()) && !r.GetRetain() {
		s.lazy = append(s.lazy, newChange(r.GetProgram(), settleChange{turn: r.GetTurn(), generated: r.GetGenerated()}))
	}
}

// see notes the upstream that served a session's turn. It needs mu to be held.
func (s *shard) see(session, upstream string, now time.Time) {
	if session == "" || upstream == "" {
		return
	}
	if s.upstreams == nil {
		s.upstreams = make(map[string]sighting)
	}
	s.upstreams[session] = sighting{upstream: upstream, seen: now}
}

// settleLater has the settlement of a turn that was recorded in another shard
// written with the next append.
func (s *shard) settleLater(r *messenger.EndRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lazy = append(s.lazy, newChange(r.GetProgram(), settleChange{turn: r.GetTurn(), generated: r.GetGenerated()}))
}

// upstream returns the upstream that served a session's last turn.
func (s *shard) upstream(session string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[session].upstream
}

// release gives back the allowances of this home, and has all holds recorded.
func (s *shard) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for program, a := range s.accounts {
		if a.asked == 0 {
			continue
		}
		a.asked = 0
		// It is no longer used, whenever the record gets in.
		a.escrow.Allowance = 0
		_, err := s.submitHolds(program, a)
		if err == nil {
			err = s.submit(newChange(program, allowanceChange{}))
		}
		if err != nil {
			s.logger.Warn().Err(err).Str("program", program).Msg("allowance not given back")
		}
	}
}

// renew writes what the store would drop before long: turns that are still kept
// and sums of settlements.
func (s *shard) renew(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := now.Add(-s.keeper.config.Retention / renewShare)
	for _, t := range s.tree.Due(before, now) {
		s.again(newChange("", renewChange{turn: &recorder.Turn{
			Id: t.ID, Previous: t.Previous, Input: t.Input, Output: t.Output, Retention: t.Retention.Milliseconds(),
		}}))
	}
	for program, a := range s.accounts {
		if a.renewed.IsZero() {
			a.renewed = now
		}
		if a.renewed.Before(before) && a.escrow.Settled > 0 {
			a.renewed = now
			s.again(newChange(program, spendChange{settled: a.escrow.Settled, retention: a.retention}))
		}
	}
}

// again submits a change that writes something again. It needs mu to be held.
func (s *shard) again(c *change) {
	if err := s.submit(c); err != nil {
		s.logger.Warn().Err(err).Msg("record not written again")
	}
}

// renewShare is the part of the store's retention, as a divisor, after which
// records are written again.
const renewShare = 2

// turnRecord returns the record of a turn that was answered whole.
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
