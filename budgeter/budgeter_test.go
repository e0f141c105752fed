package budgeter_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/recorder"
)

// holder is one incarnation's belief about a program's budget. It may be
// paused between any two of its steps.
type holder struct {
	name    string
	account budgeter.Account
	// asked is the record that the holder waits to read back, if any.
	asked int
	// retired says that the holder knows that it was superseded.
	retired bool
	open    []int64
}

// world is a program, the log and everyone that ever held the program.
type world struct {
	budget  int64
	log     []func(l *budgeter.Ledger, offset int64)
	holders []*holder
	sent    int64
}

func (w *world) ledgerAt(n int) *budgeter.Ledger {
	var l budgeter.Ledger
	for offset, apply := range w.log[:n] {
		apply(&l, int64(offset))
	}
	return &l
}

const program = "p"

// Over any interleaving of claims, grants, pauses and lost answers, what is
// sent never exceeds the budget.
func TestNeverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{budget: rapid.Int64Range(1, 200).Draw(t, "budget")}
		w.holders = []*holder{{name: "a", account: budgeter.Open(w.budget), asked: -1}}
		t.Repeat(map[string]func(*rapid.T){
			"claim":  w.claim,
			"read":   w.read,
			"spend":  w.spend,
			"settle": w.settle,
			"": func(t *rapid.T) {
				if w.sent > w.budget {
					t.Fatalf("sent %d of %d", w.sent, w.budget)
				}
			},
		})
	})
}

func (w *world) pick(t *rapid.T) *holder {
	return rapid.SampledFrom(w.holders).Draw(t, "holder")
}

// claim puts a new holder's claim into the log. Its answer may be lost: the
// holder then never acts.
func (w *world) claim(t *rapid.T) {
	h := &holder{name: string(rune('a' + len(w.holders))), asked: len(w.log)}
	c := &recorder.Claim{
		Program: program, Holder: h.name, Budget: w.budget,
		First: budgeter.First(w.budget), Want: rapid.Int64Range(0, w.budget).Draw(t, "want"),
	}
	w.log = append(w.log, func(l *budgeter.Ledger, offset int64) { l.Claim(offset, c) })
	if len(w.holders) < 20 {
		w.holders = append(w.holders, h)
	}
}

// read lets a holder read its own record back, any time after it was written
// and at any later state of the log.
func (w *world) read(t *rapid.T) {
	h := w.pick(t)
	if h.asked < 0 {
		return
	}
	seen := rapid.IntRange(h.asked+1, len(w.log)).Draw(t, "seen")
	e, _ := w.ledgerAt(seen).Entry(program)
	h.asked = -1
	if e.Holder != h.name {
		h.retired = true
		return
	}
	if h.account.Budget == 0 {
		h.account = budgeter.Account{Budget: w.budget, Ceiling: e.Ceiling, Spent: e.Base}
		return
	}
	h.account = h.account.WithCeiling(e.Ceiling)
}

func (w *world) spend(t *rapid.T) {
	h := w.pick(t)
	if h.retired || h.asked >= 0 || h.account.Budget == 0 {
		return
	}
	cost := rapid.Int64Range(1, w.budget).Draw(t, "cost")
	next, verdict := h.account.WithReserved(cost)
	switch v := verdict.(type) {
	case budgeter.Reserved:
		h.account = next
		h.open = append(h.open, cost)
		w.sent += cost
	case budgeter.Short:
		g := &recorder.Grant{Program: program, Holder: h.name, Budget: w.budget, Ceiling: v.Ceiling}
		h.asked = len(w.log)
		w.log = append(w.log, func(l *budgeter.Ledger, offset int64) { l.Grant(offset, g) })
	}
}

// settle ends a call that generated less than it reserved.
func (w *world) settle(t *rapid.T) {
	h := w.pick(t)
	if len(h.open) == 0 {
		return
	}
	reserved := h.open[0]
	h.open = h.open[1:]
	used := rapid.Int64Range(0, reserved).Draw(t, "used")
	h.account = h.account.WithSettled(reserved, used)
	w.sent -= reserved - used
}
