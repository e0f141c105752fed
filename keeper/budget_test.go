package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/messenger"
)

// Each home dies before the record of the turn that it has let run is in the store.
func TestBudgetExceededByHomesThatDieOneAfterAnother(t *testing.T) {
	const budgetTurns, homes = 2, 6
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		other := beginRequest("0", "")
		other.Program = "q"
		f.startHome(ctx, "first").Begin(ctx, other, time.Now())
		time.Sleep(time.Second)
		f.store.SetFault(refuseAppends)
		ran := 0
		for i := range homes {
			r := beginRequest(fmt.Sprint("turn", i), "")
			r.Retain, r.Budget = false, budgetTurns*maxTokens
			if f.startHome(ctx, fmt.Sprint("home", i)).Begin(ctx, r, time.Now()).GetVerdict() == messenger.BeginReply_RESERVED {
				ran++
			}
		}
		if diff := cmp.Diff(true, ran <= budgetTurns+1); diff != "" {
			t.Errorf("%d turns ran, %d and one more may (-want +got):\n%s", ran, budgetTurns, diff)
		}
	})
}
