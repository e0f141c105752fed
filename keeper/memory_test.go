package keeper_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// Turns take memory without bound, or a home that was full once takes no more turns.
func TestFullHomeTakesNoTurnsUntilSomeExpire(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		const memory = 1 << 20
		k := keeper.New(ctx, keeper.Config{
			Incarnation: "a", Store: f.store.Host("a"), Partitions: partitions, RecordBytes: 256 << 10, MemoryBytes: memory,
			Home:           func(int, time.Time) bool { return true },
			StoreReachable: func(time.Time) bool { return true },
			Search:         func(context.Context, string, []int) ([]byte, bool, bool) { return nil, false, true },
			Counters:       &counter.Set{}, Logger: zerolog.Nop(),
		})
		verdict := func(id string, retain bool) messenger.BeginReply_Verdict {
			r := beginRequest(id, "")
			r.Program, r.Retain = id, retain
			return k.Begin(ctx, r, time.Now()).GetVerdict()
		}
		got := []messenger.BeginReply_Verdict{verdict("1", true)}
		large := incompressibleTurn("1", memory)
		if _, err := k.End(ctx, large, time.Now()); err != nil {
			t.Fatal(err)
		}
		got = append(got, verdict("2", true), verdict("3", false))
		time.Sleep(2 * time.Minute)
		k.Tick(time.Now())
		got = append(got, verdict("4", true))
		want := []messenger.BeginReply_Verdict{
			messenger.BeginReply_RESERVED, messenger.BeginReply_UNCERTAIN, messenger.BeginReply_RESERVED, messenger.BeginReply_RESERVED,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("empty, full, full and not recorded, expired (-want +got):\n%s", diff)
		}
	})
}
