package keeper_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
)

// A turn that continues a turn of another shard is recorded together with the chain of
// the earlier turn: the text of that turn and of all turns before it.
func TestChainOfAnotherShard(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startHomeWithFarTurn(ctx, "a")
		runTurn(ctx, t, a, "near", "far")
		reply := f.startHome(ctx, "b").Begin(ctx, beginRequest("next", "near"), time.Now())
		if diff := cmp.Diff("elsewhere\nin-near;out-near\n", string(reply.GetChain())); diff != "" {
			t.Errorf("chain (-want +got):\n%s", diff)
		}
	})
}

// startHomeWithFarTurn starts a Keeper whose Search finds a turn with the id "far"
// in another shard.
func (f *fixture) startHomeWithFarTurn(ctx context.Context, name string) *keeper.Keeper {
	config := f.config(name)
	config.Search = func(_ context.Context, turn string, _ []int) ([]byte, bool, bool) {
		return []byte("elsewhere\n"), turn == "far", true
	}
	return keeper.New(ctx, config)
}

// A turn that continues a turn of another shard is recorded with the chain of the
// earlier turn, even if this home did not look the chain up at Begin: another home
// may have handled Begin, or the entry host may have cached the chain.
func TestChainOfAnotherShardIsRecorded(t *testing.T) {
	for _, c := range []struct {
		name string
		// cached is set if the entry host has the chain of the previous turn.
		cached bool
		// moved is set if another home handles the end of the turn.
		moved bool
	}{
		{"the home changes in between", false, true},
		{"the entry host holds the chain", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				first := f.startHomeWithFarTurn(ctx, "a")
				last := first
				if c.moved {
					last = f.startHomeWithFarTurn(ctx, "b")
				}
				r := beginRequest("near", "far")
				r.Cached = c.cached
				first.Begin(ctx, r, time.Now())
				if _, err := last.End(ctx, endRequest("near", "far"), time.Now()); err != nil {
					t.Fatal(err)
				}
				reply := f.startHome(ctx, "later").Begin(ctx, beginRequest("next", "near"), time.Now())
				if diff := cmp.Diff("elsewhere\nin-near;out-near\n", string(reply.GetChain())); diff != "" {
					t.Errorf("%s, chain (-want +got):\n%s", reply.GetVerdict(), diff)
				}
			})
		})
	}
}

// If no shard has the previous turn, End fails. Otherwise the turn would be recorded
// without the text of the turns before it.
func TestNoRecordWithoutItsChain(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		if _, err := f.startHomeWithFarTurn(ctx, "a").End(ctx, endRequest("near", "unknown"), time.Now()); err == nil {
			t.Error("a turn without its chain was recorded")
		}
	})
}
