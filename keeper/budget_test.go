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

// The entry host repeats Begin after the home has given up waiting for the record.
func TestTurnRunsWithoutReservationAfterRepeatedBegin(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		other := beginRequest("0", "")
		other.Program = "q"
		f.startHome(ctx, "first").Begin(ctx, other, time.Now())
		time.Sleep(time.Second)
		home := f.startHome(ctx, "second")
		begin := func(turn string) string {
			r := beginRequest(turn, "")
			r.Retain, r.Budget = false, maxTokens
			return home.Begin(ctx, r, time.Now()).GetVerdict().String()
		}
		f.store.SetFault(refuseAppends)
		got := []string{begin("1")}
		f.store.SetFault(nil)
		time.Sleep(recordTime)
		got = append(got, begin("1"), begin("2"), begin("3"))
		if diff := cmp.Diff([]string{"UNCERTAIN", "UNCERTAIN", "RESERVED", "EXCEEDED"}, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

// The home's queue has no room for the reservation, and the entry host repeats Begin.
func TestTurnRunsWithoutReservationAfterFullQueue(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		home, other := f.startHome(ctx, "home"), f.startHome(ctx, "other")
		knowEachOther(ctx, home, other)
		f.tickWithFullQueue(ctx, home)
		f.store.SetFault(refuseAppends)
		r := beginRequest("1", "")
		r.Retain = false
		got := []string{home.Begin(ctx, r, time.Now()).GetVerdict().String(), home.Begin(ctx, r, time.Now()).GetVerdict().String()}
		if diff := cmp.Diff([]string{"UNCERTAIN", "UNCERTAIN"}, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}
