package keeper_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// Turns take memory without bound, or a home that was full once takes no more turns.
func TestFullHomeTakesNoTurnsUntilSomeExpire(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		const memory = 1 << 20
		config := f.config("a")
		config.RecordBytes, config.MemoryBytes = 256<<10, memory
		k := keeper.New(ctx, config)
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
