package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/standin"
)

// A home has settled a turn whose settlement is not in the store yet, when sums are written
// and read: the turn is counted in no sum, or twice.
func TestUnrecordedSettlementBesideSumOfSettlements(t *testing.T) {
	const budget, recorded, unrecorded = 100, 60, 7
	for _, c := range []struct {
		name string
		// expired is true if the store drops the recorded settlement before the home reads it,
		// and only the sum of another home is left.
		expired bool
	}{{"home that reads the sum", true}, {"home that writes the sum", false}} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				home, other := f.startRewritingHome(ctx, "home"), f.startRewritingHome(ctx, "other")
				knowEachOther(ctx, home, other)
				begin, end := beginRequest("2", ""), endRequest("2", "")
				begin.Retain, end.Retain, begin.Most, end.Generated = false, false, unrecorded, unrecorded
				begin.Retention = time.Hour.Milliseconds()
				if v := home.Begin(ctx, begin, time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
					t.Fatalf("begin: %v", v)
				}
				spend(ctx, t, other)
				if !c.expired {
					releaseAll(ctx, home)
				}
				settled, written := f.store.Len(partitions[0]), time.Now()
				writer := other
				if !c.expired {
					writer = home
				}
				tickUntil(writer, written.Add(storeRetention/2))
				f.store.SetFault(func(call standin.Call) standin.Effect {
					if call.Append && call.Host == "home" {
						return standin.Refuse
					}
					return standin.Done
				})
				if _, err := home.End(ctx, end, time.Now()); err != nil {
					t.Fatal(err)
				}
				tickUntil(writer, written.Add(storeRetention/2+10*time.Second))
				if c.expired {
					f.store.Trim(partitions[0], settled)
				}
				f.store.SetFault(nil)
				synctest.Wait()
				time.Sleep(time.Second)
				releaseAll(ctx, home, other)
				for name, k := range map[string]*keeper.Keeper{"home": home, "next": f.startHome(ctx, "next")} {
					if diff := cmp.Diff(int64(budget-recorded-unrecorded), tokensLeft(ctx, k, budget)); diff != "" {
						t.Errorf("tokens left at %s (-want +got):\n%s", name, diff)
					}
					releaseAll(ctx, k)
				}
			})
		})
	}
}
