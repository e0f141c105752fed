package keeper_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// Several homes reserve the last tokens of a budget at the same time, before any has read the
// others' records.
func TestBudgetExceededByHomesThatReserveAtTheSameTime(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		homes := []*keeper.Keeper{f.startHome(ctx, "a"), f.startHome(ctx, "b"), f.startHome(ctx, "c"), f.startHome(ctx, "d")}
		knowEachOther(ctx, homes...)
		f.store.SetFault(refuseAppends)
		time.AfterFunc(200*time.Millisecond, func() { f.store.SetFault(nil) })
		var running sync.WaitGroup
		var ran atomic.Int64
		for i, home := range homes {
			running.Go(func() {
				r := beginRequest(fmt.Sprint("turn", i), "")
				r.Retain, r.Budget = false, maxTokens
				if home.Begin(ctx, r, time.Now()).GetVerdict() == messenger.BeginReply_RESERVED {
					ran.Add(1)
				}
			})
		}
		running.Wait()
		if diff := cmp.Diff(true, ran.Load() <= 2); diff != "" {
			t.Errorf("%d turns ran, one and one more may (-want +got):\n%s", ran.Load(), diff)
		}
	})
}

// Several hosts take the empty shard for one that no other home has had.
func TestBudgetExceededByFirstHomesOfEmptyShard(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		f.store.SetFault(refuseAppends)
		ran := 0
		for i := range 4 {
			r := beginRequest(fmt.Sprint("turn", i), "")
			r.Retain, r.Budget = false, maxTokens
			if f.startHome(ctx, fmt.Sprint("home", i)).Begin(ctx, r, time.Now()).GetVerdict() == messenger.BeginReply_RESERVED {
				ran++
			}
		}
		if diff := cmp.Diff(true, ran <= 2); diff != "" {
			t.Errorf("%d turns ran, one and one more may (-want +got):\n%s", ran, diff)
		}
	})
}
