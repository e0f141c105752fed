package keeper_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
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
		config := f.config("b")
		config.Search = func(_ context.Context, turn string, _ []int) ([]byte, bool, bool) {
			return []byte("in-1;out-1\nin-2;out-2\n"), turn == "2", true
		}
		b := keeper.New(ctx, config)
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

// storeRetention is how long the store keeps records in tests of rewriting.
const storeRetention = 300 * time.Second

// startRewritingHome starts a Keeper whose store keeps records for storeRetention.
func (f *fixture) startRewritingHome(ctx context.Context, name string) *keeper.Keeper {
	config := f.config(name)
	config.Retention = storeRetention
	return keeper.New(ctx, config)
}

// tickUntil calls Tick each second until the given time.
func tickUntil(k *keeper.Keeper, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Second)
		k.Tick(time.Now())
	}
	synctest.Wait()
}

// tickWithFullQueue calls Tick while as many turns of program q wait for the store as the
// queue takes.
func (f *fixture) tickWithFullQueue(ctx context.Context, k *keeper.Keeper) {
	f.store.SetFault(refuseAppends)
	for i := range 1200 {
		r := endRequest(fmt.Sprint("other", i), "")
		r.Program = "q"
		go func() { _, _ = k.End(ctx, r, time.Now()) }()
	}
	time.Sleep(time.Second)
	k.Tick(time.Now())
	f.store.SetFault(nil)
}

// spend runs a turn that generates 60 tokens of program p's budget of 100.
func spend(ctx context.Context, t *testing.T, k *keeper.Keeper) {
	t.Helper()
	begin, end := beginRequest("1", ""), endRequest("1", "")
	begin.Most, end.Generated = 60, 60
	begin.Retention, end.Retention = time.Hour.Milliseconds(), time.Hour.Milliseconds()
	if v := k.Begin(ctx, begin, time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
		t.Fatalf("begin: %v", v)
	}
	if diff := cmp.Diff("recorded", outcomeOf(k.End(ctx, end, time.Now()))); diff != "" {
		t.Fatalf("end (-want +got):\n%s", diff)
	}
	k.Release()
	synctest.Wait()
}

// verdictOf returns the verdict on a turn of program p of at most the given number of
// tokens.
func verdictOf(ctx context.Context, k *keeper.Keeper, id string, most int64) messenger.BeginReply_Verdict {
	r := beginRequest(id, "")
	r.Most = most
	return k.Begin(ctx, r, time.Now()).GetVerdict()
}

// A turn that is still kept is lost with its only record, because the copy of the record
// was counted as written when its append had not been queued.
func TestRecordThatCouldNotBeRewrittenIsRewrittenLater(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startRewritingHome(ctx, "a")
		r := endRequest("1", "")
		r.Retention = time.Hour.Milliseconds()
		if diff := cmp.Diff("recorded", outcomeOf(a.End(ctx, r, time.Now()))); diff != "" {
			t.Fatalf("end (-want +got):\n%s", diff)
		}
		synctest.Wait()
		written, old := time.Now(), f.store.Len(partitions[0])
		time.Sleep(storeRetention/2 + time.Second)
		f.tickWithFullQueue(ctx, a)
		tickUntil(a, written.Add(storeRetention))
		f.store.Trim(partitions[0], old)
		verdict := f.startRewritingHome(ctx, "b").Begin(ctx, beginRequest("2", "1"), time.Now()).GetVerdict()
		if diff := cmp.Diff(messenger.BeginReply_RESERVED, verdict); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A spent budget is granted again, because the sum was counted as written when its append
// had not been queued.
func TestSumThatCouldNotBeRewrittenIsRewrittenLater(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startRewritingHome(ctx, "a")
		spend(ctx, t, a)
		written, old := time.Now(), f.store.Len(partitions[0])
		a.Tick(time.Now())
		time.Sleep(storeRetention/2 + time.Second)
		f.tickWithFullQueue(ctx, a)
		tickUntil(a, written.Add(storeRetention))
		f.store.Trim(partitions[0], old)
		verdict := verdictOf(ctx, f.startRewritingHome(ctx, "b"), "2", 41)
		if diff := cmp.Diff(messenger.BeginReply_EXCEEDED, verdict); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A spent budget is granted again, because a home that reads old settlements counts their
// sum as written when it reads them.
func TestSumOfOldSettlementsIsRewrittenInTime(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		spend(ctx, t, f.startRewritingHome(ctx, "a"))
		written, old := time.Now(), f.store.Len(partitions[0])
		time.Sleep(storeRetention * 8 / 10)
		b := f.startRewritingHome(ctx, "b")
		if v := verdictOf(ctx, b, "2", 1); v != messenger.BeginReply_RESERVED {
			t.Fatalf("begin: %v", v)
		}
		b.Release()
		tickUntil(b, written.Add(storeRetention))
		f.store.Trim(partitions[0], old)
		verdict := verdictOf(ctx, f.startRewritingHome(ctx, "c"), "3", 41)
		if diff := cmp.Diff(messenger.BeginReply_EXCEEDED, verdict); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// Callers' turns are refused, because the records that are due for rewriting fill the
// queue.
func TestRewritesLeaveRoomForTurns(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startRewritingHome(ctx, "a")
		for i := range 1200 {
			r := endRequest(fmt.Sprint("old", i), "")
			r.Retention = time.Hour.Milliseconds()
			if diff := cmp.Diff("recorded", outcomeOf(a.End(ctx, r, time.Now()))); diff != "" {
				t.Fatalf("end (-want +got):\n%s", diff)
			}
		}
		synctest.Wait()
		written, old := time.Now(), f.store.Len(partitions[0])
		time.Sleep(storeRetention/2 + time.Second)
		f.store.SetFault(refuseAppends)
		a.Tick(time.Now())
		time.AfterFunc(time.Second, func() { f.store.SetFault(nil) })
		if diff := cmp.Diff("recorded", outcomeOf(a.End(ctx, endRequest("new", ""), time.Now()))); diff != "" {
			t.Errorf("end (-want +got):\n%s", diff)
		}
		tickUntil(a, written.Add(storeRetention))
		f.store.Trim(partitions[0], old)
		b := f.startRewritingHome(ctx, "b")
		lost := 0
		for i := range 1200 {
			r := beginRequest(fmt.Sprint("next", i), fmt.Sprint("old", i))
			r.Budget = 1 << 20
			if b.Begin(ctx, r, time.Now()).GetVerdict() != messenger.BeginReply_RESERVED {
				lost++
			}
		}
		if diff := cmp.Diff(0, lost); diff != "" {
			t.Errorf("lost turns (-want +got):\n%s", diff)
		}
	})
}

// A turn that is still kept is lost with its only record, because the present home has no
// reason to open the shard.
func TestRecordsOfAQuietShardAreRewrittenByItsNextHome(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		r := endRequest("1", "")
		r.Retention = time.Hour.Milliseconds()
		dying, kill := context.WithCancel(ctx)
		if diff := cmp.Diff("recorded", outcomeOf(f.startRewritingHome(dying, "a").End(ctx, r, time.Now()))); diff != "" {
			t.Fatalf("end (-want +got):\n%s", diff)
		}
		kill()
		old := f.store.Len(partitions[0])
		b := f.startRewritingHome(ctx, "b")
		for began := time.Now(); time.Since(began) < storeRetention; time.Sleep(time.Second) {
			b.Tick(time.Now())
		}
		synctest.Wait()
		f.store.Trim(partitions[0], old)
		verdict := b.Begin(ctx, beginRequest("2", "1"), time.Now()).GetVerdict()
		if diff := cmp.Diff(messenger.BeginReply_RESERVED, verdict); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A turn that is still kept is lost with its only record, because a host that is home of a
// quiet shard again has not read what another home recorded in between.
func TestRecordsOfAnInterimHomeAreRewritten(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		home := true
		config := f.config("a")
		config.Retention = storeRetention
		config.Home = func(int, time.Time) bool { return home }
		a := keeper.New(ctx, config)
		if v := verdictOf(ctx, a, "x", 1); v != messenger.BeginReply_RESERVED {
			t.Fatalf("begin: %v", v)
		}
		home = false
		a.Tick(time.Now())
		synctest.Wait()
		r := endRequest("1", "")
		r.Retention = time.Hour.Milliseconds()
		if diff := cmp.Diff("recorded", outcomeOf(f.startRewritingHome(ctx, "b").End(ctx, r, time.Now()))); diff != "" {
			t.Fatalf("end (-want +got):\n%s", diff)
		}
		synctest.Wait()
		home = true
		written, old := time.Now(), f.store.Len(partitions[0])
		tickUntil(a, written.Add(storeRetention))
		f.store.Trim(partitions[0], old)
		verdict := f.startRewritingHome(ctx, "c").Begin(ctx, beginRequest("2", "1"), time.Now()).GetVerdict()
		if diff := cmp.Diff(messenger.BeginReply_RESERVED, verdict); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// The store is flooded with reads, because a home reads all its shards at once, or more often
// than once in two visits.
func TestQuietShardsAreReadSeldomAndSpreadInTime(t *testing.T) {
	// reads is the number of reads of a shard by its home within two retentions of the store,
	// which are 16 rounds of visits.
	const shards, reads = 300, 8
	all := make([]connector.Partition, shards)
	for i := range all {
		all[i] = connector.Partition{Topic: "turns", Part: i}
	}
	for _, c := range []struct {
		name      string
		retention time.Duration
		home      func(shard int, now time.Time) bool
		// perTick and total are the most calls of the store in one tick and in all.
		perTick, total int
	}{
		{"home of all", storeRetention, func(int, time.Time) bool { return true }, 8, reads * shards},
		{"home of a third", storeRetention, func(shard int, _ time.Time) bool { return shard%3 == 0 }, 3, reads * shards / 3},
		{"home of none", storeRetention, func(int, time.Time) bool { return false }, 0, 0},
		{"store keeps records forever", 0, func(int, time.Time) bool { return true }, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				config := f.config("a")
				config.Partitions, config.Retention, config.Home = all, c.retention, c.home
				k := keeper.New(ctx, config)
				perTick := 0
				for range 2 * storeRetention / time.Second {
					before := f.store.Calls()
					k.Tick(time.Now())
					synctest.Wait()
					perTick = max(perTick, f.store.Calls()-before)
					time.Sleep(time.Second)
				}
				if diff := cmp.Diff([]int{c.perTick, c.total}, []int{perTick, f.store.Calls()}); diff != "" {
					t.Errorf("calls in a tick, in all (-want +got):\n%s", diff)
				}
			})
		})
	}
}
