package budgeter_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/recorder"
)

// holder is a host that claimed the program, with its own view of the budget. It may
// be paused between any two of its steps.
type holder struct {
	name    string
	account budgeter.Account
	// pendingOffset is the offset of the holder's own record that it has not read
	// back yet; -1 if there is none.
	pendingOffset int
	// retired is set once the holder knows that another holder has superseded it.
	retired bool
	// openCosts holds the reserved costs of the running calls, the oldest first.
	openCosts []int64
}

// simulation is one program, its log, and all holders that the program ever had.
type simulation struct {
	budget int64
	// log holds the records in offset order, as functions that apply them to a
	// ledger.
	log     []func(l *budgeter.Ledger, offset int64)
	holders []*holder
	// sentTokens is the cost of all calls sent: the reserved cost of running calls
	// and the actual cost of ended calls.
	sentTokens int64
}

// ledgerAt returns the ledger after the first n records of the log.
func (s *simulation) ledgerAt(n int) *budgeter.Ledger {
	var l budgeter.Ledger
	for offset, apply := range s.log[:n] {
		apply(&l, int64(offset))
	}
	return &l
}

const program = "p"

// In random interleavings of claims, grants, pauses and lost answers, the total
// cost of the calls of all holders never exceeds the budget.
func TestNeverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{budget: rapid.Int64Range(1, 200).Draw(t, "budget")}
		s.holders = []*holder{{name: "a", account: budgeter.Open(s.budget), pendingOffset: -1}}
		t.Repeat(map[string]func(*rapid.T){
			"claim":  s.claim,
			"read":   s.read,
			"spend":  s.spend,
			"settle": s.settle,
			"": func(t *rapid.T) {
				if s.sentTokens > s.budget {
					t.Fatalf("sent %d of %d", s.sentTokens, s.budget)
				}
			},
		})
	})
}

// drawHolder returns a random holder.
func (s *simulation) drawHolder(t *rapid.T) *holder {
	return rapid.SampledFrom(s.holders).Draw(t, "holder")
}

// claim appends a new holder's claim to the log. The holder spends only after it
// has read its claim back. A holder that never reads its claim back simulates a
// host that lost the answer to its claim.
func (s *simulation) claim(t *rapid.T) {
	h := &holder{name: string(rune('a' + len(s.holders))), pendingOffset: len(s.log)}
	c := &recorder.Claim{
		Program: program, Holder: h.name, Budget: s.budget,
		First: budgeter.FirstCeiling(s.budget), Want: rapid.Int64Range(0, s.budget).Draw(t, "want"),
	}
	s.log = append(s.log, func(l *budgeter.Ledger, offset int64) { l.Claim(offset, c) })
	if len(s.holders) < 20 {
		s.holders = append(s.holders, h)
	}
}

// read makes a holder read the log up to its own pending record or up to any later
// offset: a holder that was paused may read late.
func (s *simulation) read(t *rapid.T) {
	h := s.drawHolder(t)
	if h.pendingOffset < 0 {
		return
	}
	seen := rapid.IntRange(h.pendingOffset+1, len(s.log)).Draw(t, "seen")
	e, _ := s.ledgerAt(seen).Entry(program)
	h.pendingOffset = -1
	if e.Holder != h.name {
		h.retired = true
		return
	}
	if h.account.Budget == 0 {
		h.account = budgeter.Account{Budget: s.budget, Ceiling: e.Ceiling, Spent: e.StartSpent}
		return
	}
	h.account = h.account.WithCeiling(e.Ceiling)
}

// spend makes a holder reserve the cost of a call, and request a higher ceiling if
// its current ceiling does not cover the cost.
func (s *simulation) spend(t *rapid.T) {
	h := s.drawHolder(t)
	if h.retired || h.pendingOffset >= 0 || h.account.Budget == 0 {
		return
	}
	cost := rapid.Int64Range(1, s.budget).Draw(t, "cost")
	next, verdict := h.account.WithReserved(cost)
	switch v := verdict.(type) {
	case budgeter.Reserved:
		h.account = next
		h.openCosts = append(h.openCosts, cost)
		s.sentTokens += cost
	case budgeter.CeilingTooLow:
		g := &recorder.Grant{Program: program, Holder: h.name, Budget: s.budget, Ceiling: v.Ceiling}
		h.pendingOffset = len(s.log)
		s.log = append(s.log, func(l *budgeter.Ledger, offset int64) { l.Grant(offset, g) })
	}
}

// settle ends a holder's oldest running call. The call has used a random part of
// its reservation.
func (s *simulation) settle(t *rapid.T) {
	h := s.drawHolder(t)
	if len(h.openCosts) == 0 {
		return
	}
	reserved := h.openCosts[0]
	h.openCosts = h.openCosts[1:]
	used := rapid.Int64Range(0, reserved).Draw(t, "used")
	h.account = h.account.WithSettled(reserved, used)
	s.sentTokens -= reserved - used
}
