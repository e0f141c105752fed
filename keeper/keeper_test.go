package keeper_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/standin"
)

// maxTokens is the maximum number of tokens that one turn can generate.
const maxTokens = 10

var partitions = []connector.Partition{{Topic: "turns", Part: 0}, {Topic: "turns", Part: 1}}

// fixture is an in-memory store and the homes that use it.
type fixture struct {
	store standin.Store
	homes []*keeper.Keeper
	// unavailable holds the partitions that Config.Unavailable reports.
	unavailable map[connector.Partition]bool
}

// config returns the configuration of a Keeper that is home of all shards, reaches the store and
// finds no turn at other hosts.
func (f *fixture) config(name string) keeper.Config {
	return keeper.Config{
		Incarnation:    name,
		Store:          f.store.Host(name),
		Partitions:     partitions,
		RecordBytes:    1 << 10,
		Home:           func(int, time.Time) bool { return true },
		StoreReachable: func(time.Time) bool { return true },
		Unavailable:    func(p connector.Partition, _ time.Time) bool { return f.unavailable[p] },
		Search:         func(context.Context, string, []int) ([]byte, bool, bool) { return nil, false, true },
		Counters:       &counter.Set{},
		Logger:         zerolog.Nop(),
	}
}

// startHome starts a Keeper. Every Keeper of a fixture is configured as home of all
// shards.
func (f *fixture) startHome(ctx context.Context, name string) *keeper.Keeper {
	k := keeper.New(ctx, f.config(name))
	f.homes = append(f.homes, k)
	return k
}

// beginRequest returns a request that leaves the turn 4 s to run.
func beginRequest(id, previous string) *messenger.BeginRequest {
	return &messenger.BeginRequest{
		Program: "p", Session: "s", Turn: id, Previous: previous, Budget: 10 * maxTokens, Most: maxTokens,
		Retention: time.Minute.Milliseconds(), Retain: true, Left: 4000,
	}
}

// endRequest returns a request that ends a retained turn after 4 tokens.
func endRequest(id, previous string) *messenger.EndRequest {
	return &messenger.EndRequest{
		Program: "p", Session: "s", Turn: id, Previous: previous, Generated: 4, Retain: true,
		Input: []byte("in-" + id + ";"), Output: []byte("out-" + id + "\n"), Retention: time.Minute.Milliseconds(),
	}
}

// runInBubble runs a test with the simulated time of package synctest.
func runInBubble(t *testing.T, test func(ctx context.Context, t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, t, &fixture{})
		cancel()
		synctest.Wait()
	})
}

// runTurn begins and ends one turn at a home.
func runTurn(ctx context.Context, t *testing.T, k *keeper.Keeper, id, previous string) {
	t.Helper()
	if got := k.Begin(ctx, beginRequest(id, previous), time.Now()).GetVerdict(); got != messenger.BeginReply_RESERVED {
		t.Fatalf("begin of %s: %s", id, got)
	}
	if _, err := k.End(ctx, endRequest(id, previous), time.Now()); err != nil {
		t.Fatalf("end of %s: %v", id, err)
	}
}

// This test guards against the loss of acknowledged turns: a home that starts later finds
// each acknowledged turn in the store, with the turn's complete chain: the text of the
// turn and of all turns before it.
func TestRecordedTurnsOutliveAllHomes(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		runTurn(ctx, t, f.startHome(ctx, "a"), "1", "")
		runTurn(ctx, t, f.startHome(ctx, "b"), "2", "1")
		reply := f.startHome(ctx, "c").Begin(ctx, beginRequest("3", "2"), time.Now())
		if diff := cmp.Diff("in-1;out-1\nin-2;out-2\n", string(reply.GetChain())); diff != "" {
			t.Errorf("chain (-want +got):\n%s", diff)
		}
	})
}

// Two hosts both consider themselves home of the same shard and append alternately.
// All turns of both hosts are recorded.
func TestRacingHomes(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a, b := f.startHome(ctx, "a"), f.startHome(ctx, "b")
		runTurn(ctx, t, a, "1", "")
		runTurn(ctx, t, b, "2", "1")
		runTurn(ctx, t, a, "3", "2")
		runTurn(ctx, t, b, "4", "3")
		reply := a.Begin(ctx, beginRequest("5", "4"), time.Now())
		want := "in-1;out-1\nin-2;out-2\nin-3;out-3\nin-4;out-4\n"
		if diff := cmp.Diff(want, string(reply.GetChain())); diff != "" {
			t.Errorf("chain (-want +got):\n%s", diff)
		}
	})
}

// Every second append fails: the call or its answer is lost, the append takes
// effect late, or the store refuses it. Nevertheless, each turn is recorded exactly
// once.
func TestLostAnswers(t *testing.T) {
	for _, effect := range []standin.Effect{standin.LoseCall, standin.LoseResponse, standin.DelayAppend, standin.Refuse} {
		t.Run(fmt.Sprint(effect), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				var mu sync.Mutex
				calls := 0
				f.store.SetFault(func(c standin.Call) standin.Effect {
					mu.Lock()
					defer mu.Unlock()
					if c.Append {
						calls++
					}
					if c.Append && calls%2 == 1 {
						return effect
					}
					return standin.Done
				})
				a := f.startHome(ctx, "a")
				runTurn(ctx, t, a, "1", "")
				f.store.RunDelayed()
				runTurn(ctx, t, a, "2", "1")
				f.store.RunDelayed()
				reply := f.startHome(ctx, "b").Begin(ctx, beginRequest("3", "2"), time.Now())
				if diff := cmp.Diff("in-1;out-1\nin-2;out-2\n", string(reply.GetChain())); diff != "" {
					t.Errorf("chain (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A home that takes over counts exactly the tokens that ended turns of earlier homes
// generated. Otherwise it would refuse a program that still has budget.
func TestBudgetOutlivesHomes(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		previous := ""
		// Each turn has a new home and generates 4 tokens. After 22 turns, 88 of
		// 100 tokens are spent, and the budget covers one more turn of up to 10
		// tokens. After 23 turns, 92 are spent, and the budget does not cover
		// another turn.
		for i := range 23 {
			id := fmt.Sprint("t", i)
			k := f.startHome(ctx, fmt.Sprint("home", i))
			r := beginRequest(id, previous)
			if got := k.Begin(ctx, r, time.Now()).GetVerdict(); got != messenger.BeginReply_RESERVED {
				t.Fatalf("begin of %s: %s", id, got)
			}
			if _, err := k.End(ctx, endRequest(id, previous), time.Now()); err != nil {
				t.Fatal(err)
			}
			// A host that stops as planned releases its allowances.
			k.Release()
			synctest.Wait()
			previous = id
		}
		got := f.startHome(ctx, "last").Begin(ctx, beginRequest("more", previous), time.Now()).GetVerdict()
		if diff := cmp.Diff(messenger.BeginReply_EXCEEDED, got); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// If a home crashes while a turn runs, the turn's maximum of 10 tokens counts as
// spent, and so does the home's allowance: a third of the budget, or half of what
// is left if that is less. Three such homes take 10+33, 10+23 and 10+7 of 100
// tokens, so fewer than 10 tokens are left for a fourth turn.
func TestUnsettledTurnsCountAtMaximum(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		var got []messenger.BeginReply_Verdict
		for i := range 4 {
			k := f.startHome(ctx, fmt.Sprint("home", i))
			got = append(got, k.Begin(ctx, beginRequest(fmt.Sprint("t", i), ""), time.Now()).GetVerdict())
			synctest.Wait()
		}
		want := []messenger.BeginReply_Verdict{
			messenger.BeginReply_RESERVED, messenger.BeginReply_RESERVED, messenger.BeginReply_RESERVED,
			messenger.BeginReply_EXCEEDED,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

// A host that is no longer home of a shard releases its allowances once, and appends
// nothing more after that.
func TestReleaseIsDoneOnce(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		home := true
		config := f.config("a")
		config.Home = func(int, time.Time) bool { return home }
		k := keeper.New(ctx, config)
		r := beginRequest("1", "")
		r.Retain = false
		k.Begin(ctx, r, time.Now())
		synctest.Wait()
		home = false
		k.Tick(time.Now())
		synctest.Wait()
		before := f.store.Len(partitions[0]) + f.store.Len(partitions[1])
		for range 5 {
			k.Tick(time.Now())
			synctest.Wait()
		}
		if diff := cmp.Diff(before, f.store.Len(partitions[0])+f.store.Len(partitions[1])); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
		// The released allowance is available again: only the reservation of 10 tokens
		// counts, so 90 of 100 are left.
		reply := f.startHome(ctx, "b").Begin(ctx, &messenger.BeginRequest{
			Program: "p", Turn: "2", Budget: 10 * maxTokens, Most: 9 * maxTokens, Left: 4000,
		}, time.Now())
		if diff := cmp.Diff(messenger.BeginReply_RESERVED, reply.GetVerdict()); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// While the store is unreachable, a turn with too little time left to run is not
// kept waiting. A turn with more time waits for a third of that time, but at most
// 1.2 s.
func TestWaitForStore(t *testing.T) {
	for _, c := range []struct{ left, want time.Duration }{
		{300 * time.Millisecond, 0},
		{1500 * time.Millisecond, 500 * time.Millisecond},
		{8 * time.Second, 1200 * time.Millisecond},
	} {
		t.Run(c.left.String(), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				config := f.config("a")
				config.StoreReachable = func(time.Time) bool { return false }
				k := keeper.New(ctx, config)
				r := beginRequest("1", "")
				r.Left = c.left.Milliseconds()
				began := time.Now()
				verdict := k.Begin(ctx, r, began).GetVerdict()
				got := []any{verdict, time.Since(began)}
				if diff := cmp.Diff([]any{messenger.BeginReply_UNCERTAIN, c.want}, got); diff != "" {
					t.Errorf("verdict after (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// This test guards against a wrong MISSING verdict: a home must not report a turn as
// missing before the home has read the shard to its end.
func TestMissingOnlyAfterReading(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a, b := f.startHome(ctx, "a"), f.startHome(ctx, "b")
		runTurn(ctx, t, b, "1", "")
		if got := a.Begin(ctx, beginRequest("x", "unknown"), time.Now()).GetVerdict(); got != messenger.BeginReply_MISSING {
			t.Errorf("an unknown turn: %s", got)
		}
		// Home b records a turn that home a has not read yet.
		runTurn(ctx, t, b, "2", "1")
		if got := a.Begin(ctx, beginRequest("3", "2"), time.Now()).GetVerdict(); got != messenger.BeginReply_RESERVED {
			t.Errorf("a turn of another home: %s", got)
		}
		f.store.SetFault(func(standin.Call) standin.Effect { return standin.Refuse })
		// While the store refuses all calls, a request ends when its own context
		// ends, although appends are retried for longer.
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if got := a.Begin(ctx, beginRequest("y", "unknown"), time.Now()).GetVerdict(); got != messenger.BeginReply_UNCERTAIN {
			t.Errorf("an unknown turn while the store refuses: %s", got)
		}
	})
}

// Turns and spent budgets that are still in use outlive the retention of the store:
// the home rewrites their records before the store drops them.
func TestRecordsOutliveTheStoresRetention(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		const retention = 100 * time.Second
		config := f.config("a")
		config.Retention = retention
		k := keeper.New(ctx, config)
		previous := ""
		var ends [][2]int64
		// One turn every 20 s: the store has dropped the original records of the
		// first turns long before the last turns, which continue them, end.
		for i := range 15 {
			id := fmt.Sprint("t", i)
			runTurn(ctx, t, k, id, previous)
			previous = id
			for range 20 {
				time.Sleep(time.Second)
				k.Tick(time.Now())
				synctest.Wait()
			}
			ends = append(ends, [2]int64{f.store.Len(partitions[0]), f.store.Len(partitions[1])})
			if old := i - int(retention/(20*time.Second)); old >= 0 {
				f.store.Trim(partitions[0], ends[old][0])
				f.store.Trim(partitions[1], ends[old][1])
			}
		}
		b := f.startHome(ctx, "b")
		want := ""
		for i := range 15 {
			want += fmt.Sprintf("in-t%d;out-t%d\n", i, i)
		}
		reply := b.Begin(ctx, beginRequest("next", previous), time.Now())
		if diff := cmp.Diff(want, string(reply.GetChain())); diff != "" {
			t.Errorf("chain (-want +got):\n%s", diff)
		}
		// 15 turns have generated 60 of 100 tokens and 10 are reserved, so the
		// budget does not cover 31 more.
		r := beginRequest("more", previous)
		r.Most = 31
		if diff := cmp.Diff(messenger.BeginReply_EXCEEDED, b.Begin(ctx, r, time.Now()).GetVerdict()); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A turn that is larger than the store's record limit is split over several records
// and read back unchanged.
func TestLargeTurn(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startHome(ctx, "a")
		a.Begin(ctx, beginRequest("1", ""), time.Now())
		r := endRequest("1", "")
		for i := range 20000 {
			r.Input = fmt.Append(r.Input, i*7919%65536)
		}
		if _, err := a.End(ctx, r, time.Now()); err != nil {
			t.Fatal(err)
		}
		reply := f.startHome(ctx, "b").Begin(ctx, beginRequest("2", "1"), time.Now())
		if diff := cmp.Diff(string(r.Input)+"out-1\n", string(reply.GetChain())); diff != "" {
			t.Error("a large turn is not what was recorded")
		}
	})
}

// While the store refuses all calls, End of a retained turn does not succeed. End
// succeeds once the store accepts appends again.
func TestEndWaitsForTheStore(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startHome(ctx, "a")
		a.Begin(ctx, beginRequest("1", ""), time.Now())
		synctest.Wait()
		var mu sync.Mutex
		refusing := true
		f.store.SetFault(func(standin.Call) standin.Effect {
			mu.Lock()
			defer mu.Unlock()
			if refusing {
				return standin.Refuse
			}
			return standin.Done
		})
		limited, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if _, err := a.End(limited, endRequest("1", ""), time.Now()); err == nil {
			t.Error("a turn ended without its record")
		}
		mu.Lock()
		refusing = false
		mu.Unlock()
		if _, err := a.End(ctx, endRequest("1", ""), time.Now()); err != nil {
			t.Error(err)
		}
	})
}
