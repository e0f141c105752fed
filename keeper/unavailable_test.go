package keeper_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/standin"
)

// startSearchingHome starts a Keeper whose Search looks in the Keeper's own shards.
// It is used in tests with a single host, which is home of all shards.
func (f *fixture) startSearchingHome(ctx context.Context, name string) *keeper.Keeper {
	var k *keeper.Keeper
	k = keeper.New(ctx, keeper.Config{
		Incarnation: name, Store: f.store.Host(name), Partitions: partitions, RecordBytes: 1 << 10,
		Home:           func(int, time.Time) bool { return true },
		StoreReachable: func(time.Time) bool { return true },
		Unavailable:    func(p connector.Partition, _ time.Time) bool { return f.unavailable[p] },
		Search: func(ctx context.Context, turn string, shards []int) ([]byte, bool, bool) {
			r := &messenger.FindRequest{Turn: turn}
			for _, s := range shards {
				r.Shards = append(r.Shards, int32(s))
			}
			reply := k.Find(ctx, r, time.Now())
			return reply.GetChain(), reply.GetFound(), len(reply.GetCertain()) == len(shards)
		},
		Counters: &counter.Set{}, Logger: zerolog.Nop(),
	})
	return k
}

// refusePartition makes the store refuse all calls for one partition, and marks the
// partition as unavailable.
func (f *fixture) refusePartition(p connector.Partition) {
	f.unavailable = map[connector.Partition]bool{p: true}
	f.store.SetFault(func(c standin.Call) standin.Effect {
		if c.Partition == p {
			return standin.Refuse
		}
		return standin.Done
	})
}

// endInFallbackShard records turn 2, which continues turn 1, in shard 1 instead of
// shard 0, to which the turn's program belongs.
func endInFallbackShard(ctx context.Context, t *testing.T, k *keeper.Keeper) {
	t.Helper()
	r := endRequest("2", "1")
	r.Shard, r.Aside, r.Chain = 1, true, []byte("in-1;out-1\n")
	if reply, err := k.End(ctx, r, time.Now()); err != nil || !reply.GetRecorded() {
		t.Fatalf("end in the fallback shard: %v %v", reply, err)
	}
}

// While the partition of a turn's shard is unavailable, the turn is recorded in a
// fallback shard together with the text of all turns before it (its chain). Later
// turns can continue that turn: at the same home immediately, and at a home that starts
// after all hosts have crashed.
func TestFallbackShard(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startSearchingHome(ctx, "a")
		runTurn(ctx, t, a, "1", "")
		if v := a.Begin(ctx, beginRequest("2", "1"), time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
			t.Fatalf("begin: %v", v)
		}
		f.refusePartition(partitions[0])
		reply, err := a.End(ctx, endRequest("2", "1"), time.Now())
		if diff := cmp.Diff([]bool{true, false}, []bool{reply.GetAway(), reply.GetRecorded()}); diff != "" || err != nil {
			t.Errorf("end, %v: away, recorded (-want +got):\n%s", err, diff)
		}
		endInFallbackShard(ctx, t, a)
		// An unknown turn may be in the unavailable partition, so the verdict must not
		// be MISSING.
		elsewhere := beginRequest("5", "unknown")
		elsewhere.Shard, elsewhere.Program = 1, "q"
		if v := a.Begin(ctx, elsewhere, time.Now()).GetVerdict(); v != messenger.BeginReply_UNCERTAIN {
			t.Errorf("an unknown turn, requested in another shard: %v", v)
		}
		const want = "in-1;out-1\nin-2;out-2\n"
		got := []string{string(a.Begin(ctx, beginRequest("3", "2"), time.Now()).GetChain())}
		f.store.SetFault(nil)
		f.unavailable = nil
		got = append(got, string(f.startSearchingHome(ctx, "later").Begin(ctx, beginRequest("4", "2"), time.Now()).GetChain()))
		if diff := cmp.Diff([]string{want, want}, got); diff != "" {
			t.Errorf("chains while the partition is unavailable and later (-want +got):\n%s", diff)
		}
	})
}

// A turn is recorded in a fallback shard, and its settlement is written to the
// shard of the turn's program once that shard's partition is available again. A
// home that takes over then counts the tokens that the turn generated instead of
// the maximum reserved for the turn.
func TestFallbackTurnIsSettled(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startSearchingHome(ctx, "a")
		limited := func(id, previous string) *messenger.BeginRequest {
			r := beginRequest(id, previous)
			r.Budget = 2*4 + maxTokens
			return r
		}
		a.Begin(ctx, limited("1", ""), time.Now())
		if _, err := a.End(ctx, endRequest("1", ""), time.Now()); err != nil {
			t.Fatal(err)
		}
		a.Begin(ctx, limited("2", "1"), time.Now())
		time.Sleep(time.Second)
		f.refusePartition(partitions[0])
		other := endRequest("x", "")
		other.Program = "q"
		if _, err := a.End(ctx, other, time.Now()); err != nil {
			t.Fatal(err)
		}
		if reply, err := a.End(ctx, endRequest("2", "1"), time.Now()); err != nil || !reply.GetAway() {
			t.Fatalf("end: %v %v", reply, err)
		}
		endInFallbackShard(ctx, t, a)
		f.store.SetFault(nil)
		f.unavailable = nil
		time.Sleep(2 * time.Second)
		a.Release()
		time.Sleep(time.Second)
		verdict := f.startSearchingHome(ctx, "b").Begin(ctx, limited("3", "2"), time.Now()).GetVerdict()
		if diff := cmp.Diff(messenger.BeginReply_RESERVED, verdict); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A home learns from a failed append that its partition is unavailable. Even before
// any append has failed, the home finds turns that are recorded in fallback shards.
func TestFallbackTurnsAreFound(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startSearchingHome(ctx, "a")
		runTurn(ctx, t, a, "1", "")
		f.refusePartition(partitions[0])
		endInFallbackShard(ctx, t, a)
		reply := a.Begin(ctx, beginRequest("3", "2"), time.Now())
		if diff := cmp.Diff("in-1;out-1\nin-2;out-2\n", string(reply.GetChain())); diff != "" {
			t.Errorf("%v, chain (-want +got):\n%s", reply, diff)
		}
		if v := a.Begin(ctx, beginRequest("4", "unknown"), time.Now()).GetVerdict(); v != messenger.BeginReply_UNCERTAIN {
			t.Errorf("a turn that may be in the unavailable partition: %v", v)
		}
	})
}

// A turn whose request has Patient set waits until its own shard accepts appends
// again, and is recorded there.
func TestPatientTurn(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startHome(ctx, "a")
		runTurn(ctx, t, a, "1", "")
		f.refusePartition(partitions[0])
		time.AfterFunc(2*time.Second, func() { f.store.SetFault(nil) })
		r := endRequest("2", "1")
		r.Patient = true
		reply, err := a.End(ctx, r, time.Now())
		if err != nil || !reply.GetRecorded() {
			t.Errorf("%v %v", reply, err)
		}
	})
}
