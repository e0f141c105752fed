package keeper_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// A shard moves to another host for longer than its old home keeps it in memory, and back.
func TestOwnRecordsIgnoredByHomeThatReturns(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		var away atomic.Bool
		config := f.config("a")
		config.Home = func(int, time.Time) bool { return !away.Load() }
		k := keeper.New(ctx, config)
		spend(ctx, t, k)
		away.Store(true)
		tickUntil(k, time.Now().Add(30*time.Second))
		away.Store(false)
		reply := k.Begin(ctx, beginRequest("2", "1"), time.Now())
		got := []string{
			fmt.Sprint(reply.GetVerdict(), " ", string(reply.GetChain())),
			verdictOf(ctx, k, "3", 41).String(),
		}
		synctest.Wait()
		want := []string{"RESERVED in-1;out-1\n", messenger.BeginReply_EXCEEDED.String()}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("next turn and turn over the budget (-want +got):\n%s", diff)
		}
	})
}
