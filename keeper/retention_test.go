package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/standin"
)

// refuseAppends returns a fault that makes the store refuse all appends.
func refuseAppends(c standin.Call) standin.Effect {
	if c.Append {
		return standin.Refuse
	}
	return standin.Done
}

// A turn is acknowledged although its home has dropped the turn before it meanwhile: the
// next turn gets 404.
func TestAcknowledgedTurnWhosePreviousExpiresBeforeTheAppend(t *testing.T) {
	for _, outage := range []time.Duration{2 * time.Second, 3 * time.Minute} {
		t.Run(outage.String(), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				a := f.startSearchingHome(ctx, "a")
				runTurn(ctx, t, a, "1", "")
				time.Sleep(59 * time.Second)
				if v := a.Begin(ctx, beginRequest("2", "1"), time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
					t.Fatalf("begin: %v", v)
				}
				synctest.Wait()
				f.store.SetFault(refuseAppends)
				ended := make(chan string)
				go func() { ended <- outcomeOf(a.End(ctx, endRequest("2", "1"), time.Now())) }()
				for range outage / (2 * time.Second) {
					time.Sleep(2 * time.Second)
					a.Tick(time.Now())
				}
				f.store.SetFault(nil)
				if diff := cmp.Diff("recorded", <-ended); diff != "" {
					t.Fatalf("end (-want +got):\n%s", diff)
				}
				reply := a.Begin(ctx, beginRequest("3", "2"), time.Now())
				if diff := cmp.Diff("RESERVED in-1;out-1\nin-2;out-2\n", fmt.Sprint(reply.GetVerdict(), " ", string(reply.GetChain()))); diff != "" {
					t.Errorf("verdict and chain (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A turn is acknowledged without its chain, because the shard has the previous turn but
// not the turns before that.
func TestAcknowledgedTurnWhosePreviousHasLostItsChain(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startSearchingHome(ctx, "a")
		runTurn(ctx, t, a, "1", "")
		synctest.Wait()
		old := f.store.Len(partitions[0])
		runTurn(ctx, t, a, "2", "1")
		synctest.Wait()
		f.store.Trim(partitions[0], old)
		b := keeper.New(ctx, keeper.Config{
			Incarnation: "b", Store: f.store.Host("b"), Partitions: partitions, RecordBytes: 1 << 10,
			Home:           func(int, time.Time) bool { return true },
			StoreReachable: func(time.Time) bool { return true },
			Search: func(_ context.Context, turn string, _ []int) ([]byte, bool, bool) {
				return []byte("in-1;out-1\nin-2;out-2\n"), turn == "2", true
			},
			Counters: &counter.Set{}, Logger: zerolog.Nop(),
		})
		runTurn(ctx, t, b, "3", "2")
		const want = "RESERVED in-1;out-1\nin-2;out-2\nin-3;out-3\n"
		for _, home := range []*keeper.Keeper{b, f.startHome(ctx, "c")} {
			reply := home.Begin(ctx, beginRequest("4", "3"), time.Now())
			if diff := cmp.Diff(want, fmt.Sprint(reply.GetVerdict(), " ", string(reply.GetChain()))); diff != "" {
				t.Errorf("verdict and chain (-want +got):\n%s", diff)
			}
		}
	})
}
