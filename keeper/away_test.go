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

// alone returns a home that is home of all shards and searches them itself.
func (w *world) alone(ctx context.Context, name string) *keeper.Keeper {
	var k *keeper.Keeper
	k = keeper.New(ctx, keeper.Config{
		Incarnation: name, Store: w.store.Host(name), Partitions: partitions, RecordBytes: 1 << 10,
		Home:   func(int, time.Time) bool { return true },
		Stored: func(time.Time) bool { return true },
		Away:   func(p connector.Partition, _ time.Time) bool { return w.away[p] },
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

// refuse has the store refuse a partition.
func (w *world) refuse(p connector.Partition) {
	w.away = map[connector.Partition]bool{p: true}
	w.store.SetFault(func(c standin.Call) standin.Effect {
		if c.Partition == p {
			return standin.Refuse
		}
		return standin.Done
	})
}

// endAside records turn 2, which continues turn 1, in another shard than its own.
func endAside(ctx context.Context, t *testing.T, k *keeper.Keeper) {
	t.Helper()
	r := end("2", "1")
	r.Shard, r.Aside, r.Chain = 1, true, []byte("in-1;out-1\n")
	if reply, err := k.End(ctx, r, time.Now()); err != nil || !reply.GetRecorded() {
		t.Fatalf("end aside: %v %v", reply, err)
	}
}

// While the partition of its shard is away, a turn is recorded in another one with
// its chain, and every home goes on from there: the same home at once, and others
// after all hosts have died.
func TestTurnsAside(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a := w.alone(ctx, "a")
		turn(ctx, t, a, "1", "")
		if v := a.Begin(ctx, begin("2", "1"), time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
			t.Fatalf("begin: %v", v)
		}
		w.refuse(partitions[0])
		reply, err := a.End(ctx, end("2", "1"), time.Now())
		if diff := cmp.Diff([]bool{true, false}, []bool{reply.GetAway(), reply.GetRecorded()}); diff != "" || err != nil {
			t.Errorf("end, %v: away, recorded (-want +got):\n%s", err, diff)
		}
		endAside(ctx, t, a)
		// A turn that may be in the partition that is away is not missing.
		elsewhere := begin("5", "unknown")
		elsewhere.Shard, elsewhere.Program = 1, "q"
		if v := a.Begin(ctx, elsewhere, time.Now()).GetVerdict(); v != messenger.BeginReply_UNCERTAIN {
			t.Errorf("an unknown turn, asked for in another shard: %v", v)
		}
		const want = "in-1;out-1\nin-2;out-2\n"
		got := []string{string(a.Begin(ctx, begin("3", "2"), time.Now()).GetChain())}
		w.store.SetFault(nil)
		w.away = nil
		got = append(got, string(w.alone(ctx, "later").Begin(ctx, begin("4", "2"), time.Now()).GetChain()))
		if diff := cmp.Diff([]string{want, want}, got); diff != "" {
			t.Errorf("chains while it is away and later (-want +got):\n%s", diff)
		}
	})
}

// The settlement of a turn aside gets into its own shard when that is back: a home
// that takes it over counts what was generated, and not the turn's most.
func TestTurnAsideIsSettled(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a := w.alone(ctx, "a")
		limited := func(id, previous string) *messenger.BeginRequest {
			r := begin(id, previous)
			r.Budget = 2*4 + most
			return r
		}
		a.Begin(ctx, limited("1", ""), time.Now())
		if _, err := a.End(ctx, end("1", ""), time.Now()); err != nil {
			t.Fatal(err)
		}
		a.Begin(ctx, limited("2", "1"), time.Now())
		time.Sleep(time.Second)
		w.refuse(partitions[0])
		other := end("x", "")
		other.Program = "q"
		if _, err := a.End(ctx, other, time.Now()); err != nil {
			t.Fatal(err)
		}
		if reply, err := a.End(ctx, end("2", "1"), time.Now()); err != nil || !reply.GetAway() {
			t.Fatalf("end: %v %v", reply, err)
		}
		endAside(ctx, t, a)
		w.store.SetFault(nil)
		w.away = nil
		time.Sleep(2 * time.Second)
		a.Release()
		time.Sleep(time.Second)
		verdict := w.alone(ctx, "b").Begin(ctx, limited("3", "2"), time.Now()).GetVerdict()
		if diff := cmp.Diff(messenger.BeginReply_RESERVED, verdict); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A home that has not appended since its partition went away looks for a turn in
// other shards as well.
func TestTurnsAsideAreFound(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a := w.alone(ctx, "a")
		turn(ctx, t, a, "1", "")
		w.refuse(partitions[0])
		endAside(ctx, t, a)
		reply := a.Begin(ctx, begin("3", "2"), time.Now())
		if diff := cmp.Diff("in-1;out-1\nin-2;out-2\n", string(reply.GetChain())); diff != "" {
			t.Errorf("%v, chain (-want +got):\n%s", reply, diff)
		}
		if v := a.Begin(ctx, begin("4", "unknown"), time.Now()).GetVerdict(); v != messenger.BeginReply_UNCERTAIN {
			t.Errorf("a turn that may be in the partition that is away: %v", v)
		}
	})
}

// A turn that waits with patience is recorded in its own shard when that is back.
func TestPatientTurn(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a := w.home(ctx, "a")
		turn(ctx, t, a, "1", "")
		w.refuse(partitions[0])
		time.AfterFunc(2*time.Second, func() { w.store.SetFault(nil) })
		r := end("2", "1")
		r.Patient = true
		reply, err := a.End(ctx, r, time.Now())
		if err != nil || !reply.GetRecorded() {
			t.Errorf("%v %v", reply, err)
		}
	})
}
