package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// Part of a budget is reserved at a home for longer than the store keeps records, and the home
// dies. The next one hands that part out again.
func TestReservedBudgetIsForgottenWithItsRecord(t *testing.T) {
	// The allowance of a home is a third of the budget.
	const budget, allowance = 30 * maxTokens, 10 * maxTokens
	for _, c := range []struct {
		name string
		// turns is the number of turns that run at the home when it dies.
		turns int
		// interim is true if another home serves the shard, for as long again, before the next.
		interim bool
		// most is what the next home may hand out at most.
		most int64
	}{
		{"allowance", 0, false, budget - allowance},
		{"reservation", 12, false, budget - 12*maxTokens},
		{"allowance of a home that died before", 0, true, budget - allowance},
		{"reservation of a home that died before", 12, true, budget - 12*maxTokens},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				began := time.Now()
				go f.expireUntil(partitions[0], began.Add(6*storeRetention))
				dying, kill := context.WithCancel(ctx)
				home, other := f.startRewritingHome(dying, "home"), f.startRewritingHome(ctx, "other")
				knowEachOther(ctx, home, other)
				begin := func(k *keeper.Keeper, turn string) {
					r := beginRequest(turn, "")
					r.Budget, r.Retain, r.Retention = budget, false, time.Hour.Milliseconds()
					if v := k.Begin(ctx, r, time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
						t.Fatalf("begin of %s: %v", turn, v)
					}
				}
				// The first turns make the home record an allowance; the last one keeps it in use.
				for n := range 2 {
					begin(home, string(rune('a'+n)))
				}
				for n := range c.turns {
					begin(home, string(rune('A'+n)))
				}
				time.Sleep(time.Second)
				until := time.Now().Add(2 * storeRetention)
				tickUntil(home, until)
				kill()
				if c.interim {
					tickUntil(other, until.Add(2*storeRetention))
				}
				next := f.startRewritingHome(ctx, "next")
				if left := tokensLeft(ctx, next, budget); left > c.most {
					t.Errorf("%d tokens are left, %d are at most", left, c.most)
				}
				time.Sleep(time.Until(began.Add(7 * storeRetention)))
				synctest.Wait()
			})
		})
	}
}

// An allowance and reservations that are written again for ever keep a budget from being used:
// an idle home gives its allowance back.
func TestIdleAllowanceIsGivenBack(t *testing.T) {
	const budget = 30 * maxTokens
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		home := f.startRewritingHome(ctx, "home")
		knowEachOther(ctx, home, f.startRewritingHome(ctx, "other"))
		for _, turn := range []string{"1", "2"} {
			begin, end := beginRequest(turn, ""), endRequest(turn, "")
			begin.Budget, begin.Retain, end.Retain, begin.Retention = budget, false, false, time.Hour.Milliseconds()
			home.Begin(ctx, begin, time.Now())
			time.Sleep(time.Second)
			_, _ = home.End(ctx, end, time.Now())
		}
		tickUntil(home, time.Now().Add(storeRetention))
		left := tokensLeft(ctx, f.startRewritingHome(ctx, "next"), budget)
		if diff := cmp.Diff(int64(budget-2*4), left); diff != "" {
			t.Errorf("tokens left (-want +got):\n%s", diff)
		}
	})
}
