package budgeter_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/budgeter"
)

func TestEscrowVerdicts(t *testing.T) {
	for _, c := range []struct {
		name      string
		escrow    budgeter.Escrow
		maxTokens int64
		want      budgeter.Verdict
	}{
		{"first turn goes before its record", budgeter.Escrow{Budget: 1728}, 576, budgeter.EscrowReserved{RecordNow: true}},
		{"within the allowance", budgeter.Escrow{Budget: 4608, Allowance: 768}, 576, budgeter.EscrowReserved{}},
		{"beyond the allowance", budgeter.Escrow{Budget: 4608, Allowance: 768, Reserved: 576, Unrecorded: 576}, 576, budgeter.EscrowReserved{RecordNow: true}},
		{"earlier turns are not recorded", budgeter.Escrow{Budget: 4608, Allowance: 768, Reserved: 1152, Unrecorded: 1152}, 576, budgeter.RecordFirst{}},
		{"budget is spent", budgeter.Escrow{Budget: 1728, Settled: 1200}, 576, budgeter.Exceeded{Left: 528}},
		{"running turns count at their maximum", budgeter.Escrow{Budget: 1728, Reserved: 1152, Settled: 1}, 576, budgeter.Exceeded{Left: 575}},
		{"allowances of other homes count as spent", budgeter.Escrow{Budget: 1728, OtherAllowances: 1153}, 576, budgeter.Exceeded{Left: 575}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, got := c.escrow.WithReservation(c.maxTokens)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}

// In random sequences of turns, records and crashes of the home, a program
// generates at most its budget, plus one turn for each home that crashed while a
// turn was neither covered by the home's allowance nor recorded.
func TestEscrowNeverExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTokens = 10
		budget := rapid.Int64Range(maxTokens, 20*maxTokens).Draw(t, "budget")
		e := budgeter.Escrow{Budget: budget}
		generatedTotal, overrun := int64(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				next, verdict := e.WithReservation(maxTokens)
				if _, ok := verdict.(budgeter.EscrowReserved); !ok {
					continue
				}
				e = next
				generated := rapid.Int64Range(0, maxTokens).Draw(t, "generated")
				generatedTotal += generated
				e = e.WithSettled(maxTokens, generated, false)
			case 2:
				e = e.WithRecorded(e.Unrecorded)
			case 3:
				if e.Allowance == 0 {
					e.Allowance = e.WantedAllowance()
				}
			case 4:
				// The home crashes. The next home knows what was recorded, and counts the
				// whole allowance as spent.
				lost := e.Unrecorded
				overrun += max(0, lost-e.Allowance)
				e = budgeter.Escrow{
					Budget: budget, Settled: e.Settled - lost, OtherAllowances: e.OtherAllowances + e.Allowance,
				}
			}
			if generatedTotal > budget+overrun {
				t.Fatalf("generated %d of %d, with an allowed overrun of %d", generatedTotal, budget, overrun)
			}
			if overrun > 0 && exceedsAllowanceByMoreThanOneTurn(e, maxTokens) {
				t.Fatalf("more than one turn beyond the allowance is unrecorded: %+v", e)
			}
		}
	})
}

// exceedsAllowanceByMoreThanOneTurn reports whether more than the allowance and one
// turn of maxTokens are unrecorded.
func exceedsAllowanceByMoreThanOneTurn(e budgeter.Escrow, maxTokens int64) bool {
	return e.Unrecorded > e.Allowance+maxTokens
}
