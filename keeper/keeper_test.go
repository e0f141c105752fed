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

// most is the most tokens of one turn.
const most = 10

var partitions = []connector.Partition{{Topic: "turns", Part: 0}, {Topic: "turns", Part: 1}}

// world is a store and the homes that use it.
type world struct {
	store standin.Store
	homes []*keeper.Keeper
	// away has the partitions that are known to be away.
	away map[connector.Partition]bool
}

// home starts a home. All homes believe to be home of every shard.
func (w *world) home(ctx context.Context, name string) *keeper.Keeper {
	k := keeper.New(ctx, keeper.Config{
		Incarnation: name,
		Store:       w.store.Host(name),
		Partitions:  partitions,
		RecordBytes: 1 << 10,
		Home:        func(int, time.Time) bool { return true },
		Stored:      func(time.Time) bool { return true },
		Away:        func(p connector.Partition, _ time.Time) bool { return w.away[p] },
		Search:      func(context.Context, string, []int) ([]byte, bool, bool) { return nil, false, true },
		Counters:    &counter.Set{},
		Logger:      zerolog.Nop(),
	})
	w.homes = append(w.homes, k)
	return k
}

func begin(id, previous string) *messenger.BeginRequest {
	return &messenger.BeginRequest{
		Program: "p", Session: "s", Turn: id, Previous: previous, Budget: 10 * most, Most: most,
		Retention: time.Minute.Milliseconds(), Retain: true, Left: 4000,
	}
}

func end(id, previous string) *messenger.EndRequest {
	return &messenger.EndRequest{
		Program: "p", Session: "s", Turn: id, Previous: previous, Generated: 4, Retain: true,
		Input: []byte("in-" + id + ";"), Output: []byte("out-" + id + "\n"), Retention: time.Minute.Milliseconds(),
	}
}

// run plays a test in a bubble with its own time.
func run(t *testing.T, play func(ctx context.Context, t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		play(ctx, t, &world{})
		cancel()
		synctest.Wait()
	})
}

// turn plays one whole turn at a home.
func turn(ctx context.Context, t *testing.T, k *keeper.Keeper, id, previous string) {
	t.Helper()
	if got := k.Begin(ctx, begin(id, previous), time.Now()).GetVerdict(); got != messenger.BeginReply_RESERVED {
		t.Fatalf("begin of %s: %s", id, got)
	}
	if _, err := k.End(ctx, end(id, previous), time.Now()); err != nil {
		t.Fatalf("end of %s: %v", id, err)
	}
}

// A turn whose end was acknowledged is known to every home that starts later,
// with its chain.
func TestRecordedTurnsOutliveAllHomes(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		turn(ctx, t, w.home(ctx, "a"), "1", "")
		turn(ctx, t, w.home(ctx, "b"), "2", "1")
		reply := w.home(ctx, "c").Begin(ctx, begin("3", "2"), time.Now())
		if diff := cmp.Diff("in-1;out-1\nin-2;out-2\n", string(reply.GetChain())); diff != "" {
			t.Errorf("chain (-want +got):\n%s", diff)
		}
	})
}

// Two homes of one shard that append in turn both get their turns recorded.
func TestHomesThatRace(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a, b := w.home(ctx, "a"), w.home(ctx, "b")
		turn(ctx, t, a, "1", "")
		turn(ctx, t, b, "2", "1")
		turn(ctx, t, a, "3", "2")
		turn(ctx, t, b, "4", "3")
		reply := a.Begin(ctx, begin("5", "4"), time.Now())
		want := "in-1;out-1\nin-2;out-2\nin-3;out-3\nin-4;out-4\n"
		if diff := cmp.Diff(want, string(reply.GetChain())); diff != "" {
			t.Errorf("chain (-want +got):\n%s", diff)
		}
	})
}

// An append whose answer was lost, done or not or done late, is neither lost
// nor doubled.
func TestLostAnswers(t *testing.T) {
	for _, effect := range []standin.Effect{standin.LoseCall, standin.LoseAnswer, standin.DoLate, standin.Refuse} {
		t.Run(fmt.Sprint(effect), func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T, w *world) {
				var mu sync.Mutex
				calls := 0
				w.store.SetFault(func(c standin.Call) standin.Effect {
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
				a := w.home(ctx, "a")
				turn(ctx, t, a, "1", "")
				w.store.Settle()
				turn(ctx, t, a, "2", "1")
				w.store.Settle()
				reply := w.home(ctx, "b").Begin(ctx, begin("3", "2"), time.Now())
				if diff := cmp.Diff("in-1;out-1\nin-2;out-2\n", string(reply.GetChain())); diff != "" {
					t.Errorf("chain (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A home knows exactly what another home's ended turns generated, so that a
// program is not told that its budget is spent while it is not.
func TestBudgetOutlivesHomes(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		previous := ""
		// Each turn has a new home and generates 4: after 22 turns 88 of 100 are
		// spent, and 10 more are covered. After 23 they are not.
		for i := range 23 {
			id := fmt.Sprint("t", i)
			k := w.home(ctx, fmt.Sprint("home", i))
			r := begin(id, previous)
			if got := k.Begin(ctx, r, time.Now()).GetVerdict(); got != messenger.BeginReply_RESERVED {
				t.Fatalf("begin of %s: %s", id, got)
			}
			if _, err := k.End(ctx, end(id, previous), time.Now()); err != nil {
				t.Fatal(err)
			}
			// A planned stop gives the allowance back.
			k.Release()
			synctest.Wait()
			previous = id
		}
		got := w.home(ctx, "last").Begin(ctx, begin("more", previous), time.Now()).GetVerdict()
		if diff := cmp.Diff(messenger.BeginReply_EXCEEDED, got); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// Homes that die with turns under way leave what those could have generated
// counted as spent, and their allowances: a third of the budget, or half of what
// is left. 100 less 10 and 33, 10 and 23, 10 and 7 leaves too little for 10.
func TestUnknownTurnsCountAtTheirMost(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		var got []messenger.BeginReply_Verdict
		for i := range 4 {
			k := w.home(ctx, fmt.Sprint("home", i))
			got = append(got, k.Begin(ctx, begin(fmt.Sprint("t", i), ""), time.Now()).GetVerdict())
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

// A host that is no longer home gives its allowances back once, and appends
// nothing more then.
func TestReleaseIsDoneOnce(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		home := true
		k := keeper.New(ctx, keeper.Config{
			Incarnation: "a", Store: w.store.Host("a"), Partitions: partitions, RecordBytes: 1 << 10,
			Home:     func(int, time.Time) bool { return home },
			Stored:   func(time.Time) bool { return true },
			Counters: &counter.Set{}, Logger: zerolog.Nop(),
		})
		r := begin("1", "")
		r.Retain = false
		k.Begin(ctx, r, time.Now())
		synctest.Wait()
		home = false
		k.Tick(time.Now())
		synctest.Wait()
		before := w.store.Len(partitions[0]) + w.store.Len(partitions[1])
		for range 5 {
			k.Tick(time.Now())
			synctest.Wait()
		}
		if diff := cmp.Diff(before, w.store.Len(partitions[0])+w.store.Len(partitions[1])); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
		// What was given back is the program's again: the hold is all that counts.
		reply := w.home(ctx, "b").Begin(ctx, &messenger.BeginRequest{
			Program: "p", Turn: "2", Budget: 10 * most, Most: 9 * most, Left: 4000,
		}, time.Now())
		if diff := cmp.Diff(messenger.BeginReply_RESERVED, reply.GetVerdict()); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A turn without the time to run does not wait for a store that is away; one
// with more waits for a part of it.
func TestWaitForStore(t *testing.T) {
	for _, c := range []struct{ left, want time.Duration }{
		{300 * time.Millisecond, 0},
		{1500 * time.Millisecond, 500 * time.Millisecond},
		{8 * time.Second, 1200 * time.Millisecond},
	} {
		t.Run(c.left.String(), func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T, w *world) {
				k := keeper.New(ctx, keeper.Config{
					Incarnation: "a", Store: w.store.Host("a"), Partitions: partitions, RecordBytes: 1 << 10,
					Home:     func(int, time.Time) bool { return true },
					Stored:   func(time.Time) bool { return false },
					Counters: &counter.Set{}, Logger: zerolog.Nop(),
				})
				r := begin("1", "")
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

// No turn is said to be missing before its shard was read to the end.
func TestMissingOnlyAfterReading(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a, b := w.home(ctx, "a"), w.home(ctx, "b")
		turn(ctx, t, b, "1", "")
		if got := a.Begin(ctx, begin("x", "unknown"), time.Now()).GetVerdict(); got != messenger.BeginReply_MISSING {
			t.Errorf("an unknown turn: %s", got)
		}
		// b records a turn that a has not read.
		turn(ctx, t, b, "2", "1")
		if got := a.Begin(ctx, begin("3", "2"), time.Now()).GetVerdict(); got != messenger.BeginReply_RESERVED {
			t.Errorf("a turn of another home: %s", got)
		}
		w.store.SetFault(func(standin.Call) standin.Effect { return standin.Refuse })
		// An append that is repeated keeps no one waiting beyond its own time.
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if got := a.Begin(ctx, begin("y", "unknown"), time.Now()).GetVerdict(); got != messenger.BeginReply_UNCERTAIN {
			t.Errorf("an unknown turn while the store refuses: %s", got)
		}
	})
}

// A turn that continues one of another shard is kept with that one's chain.
func TestChainOfAnotherShard(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a := keeper.New(ctx, keeper.Config{
			Incarnation: "a", Store: w.store.Host("a"), Partitions: partitions, RecordBytes: 1 << 10,
			Home:   func(int, time.Time) bool { return true },
			Stored: func(time.Time) bool { return true },
			Search: func(_ context.Context, turn string, _ []int) ([]byte, bool, bool) {
				return []byte("elsewhere\n"), turn == "far", true
			},
			Counters: &counter.Set{}, Logger: zerolog.Nop(),
		})
		turn(ctx, t, a, "near", "far")
		reply := w.home(ctx, "b").Begin(ctx, begin("next", "near"), time.Now())
		if diff := cmp.Diff("elsewhere\nin-near;out-near\n", string(reply.GetChain())); diff != "" {
			t.Errorf("chain (-want +got):\n%s", diff)
		}
	})
}

// far returns a home that finds a turn named far in another shard.
func (w *world) far(ctx context.Context, name string) *keeper.Keeper {
	return keeper.New(ctx, keeper.Config{
		Incarnation: name, Store: w.store.Host(name), Partitions: partitions, RecordBytes: 1 << 10,
		Home:   func(int, time.Time) bool { return true },
		Stored: func(time.Time) bool { return true },
		Search: func(_ context.Context, turn string, _ []int) ([]byte, bool, bool) {
			return []byte("elsewhere\n"), turn == "far", true
		},
		Counters: &counter.Set{}, Logger: zerolog.Nop(),
	})
}

// A turn is recorded with its chain of another shard, also at a home that has
// not let it begin, and where the entry host held the chain itself.
func TestChainOfAnotherShardIsRecorded(t *testing.T) {
	for _, c := range []struct {
		name   string
		cached bool
		moved  bool
	}{
		{"the home changes in between", false, true},
		{"the entry host holds the chain", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T, w *world) {
				first := w.far(ctx, "a")
				last := first
				if c.moved {
					last = w.far(ctx, "b")
				}
				r := begin("near", "far")
				r.Cached = c.cached
				first.Begin(ctx, r, time.Now())
				if _, err := last.End(ctx, end("near", "far"), time.Now()); err != nil {
					t.Fatal(err)
				}
				reply := w.home(ctx, "later").Begin(ctx, begin("next", "near"), time.Now())
				if diff := cmp.Diff("elsewhere\nin-near;out-near\n", string(reply.GetChain())); diff != "" {
					t.Errorf("%s, chain (-want +got):\n%s", reply.GetVerdict(), diff)
				}
			})
		})
	}
}

// A turn whose previous one is known nowhere does not end as recorded.
func TestNoRecordWithoutItsChain(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		if _, err := w.far(ctx, "a").End(ctx, end("near", "unknown"), time.Now()); err == nil {
			t.Error("a turn without its chain was recorded")
		}
	})
}

// What is still kept outlives the store's retention: turns, and what a program
// has spent.
func TestRecordsOutliveTheStoresRetention(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		const retention = 100 * time.Second
		k := keeper.New(ctx, keeper.Config{
			Incarnation: "a", Store: w.store.Host("a"), Partitions: partitions, RecordBytes: 1 << 10,
			Retention: retention,
			Home:      func(int, time.Time) bool { return true },
			Stored:    func(time.Time) bool { return true },
			Counters:  &counter.Set{}, Logger: zerolog.Nop(),
		})
		previous := ""
		var ends [][2]int64
		// A turn each 20 s: the first ones are long out of the store's log when
		// the last ones are answered, and are part of their chain.
		for i := range 15 {
			id := fmt.Sprint("t", i)
			turn(ctx, t, k, id, previous)
			previous = id
			for range 20 {
				time.Sleep(time.Second)
				k.Tick(time.Now())
				synctest.Wait()
			}
			ends = append(ends, [2]int64{w.store.Len(partitions[0]), w.store.Len(partitions[1])})
			if old := i - int(retention/(20*time.Second)); old >= 0 {
				w.store.Trim(partitions[0], ends[old][0])
				w.store.Trim(partitions[1], ends[old][1])
			}
		}
		b := w.home(ctx, "b")
		want := ""
		for i := range 15 {
			want += fmt.Sprintf("in-t%d;out-t%d\n", i, i)
		}
		reply := b.Begin(ctx, begin("next", previous), time.Now())
		if diff := cmp.Diff(want, string(reply.GetChain())); diff != "" {
			t.Errorf("chain (-want +got):\n%s", diff)
		}
		// 15 turns have generated 60 of 100, and 10 are held: 31 are not left.
		r := begin("more", previous)
		r.Most = 31
		if diff := cmp.Diff(messenger.BeginReply_EXCEEDED, b.Begin(ctx, r, time.Now()).GetVerdict()); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// A large turn is cut into records that the store takes.
func TestLargeTurn(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a := w.home(ctx, "a")
		a.Begin(ctx, begin("1", ""), time.Now())
		r := end("1", "")
		for i := range 20000 {
			r.Input = fmt.Append(r.Input, i*7919%65536)
		}
		if _, err := a.End(ctx, r, time.Now()); err != nil {
			t.Fatal(err)
		}
		reply := w.home(ctx, "b").Begin(ctx, begin("2", "1"), time.Now())
		if diff := cmp.Diff(string(r.Input)+"out-1\n", string(reply.GetChain())); diff != "" {
			t.Error("a large turn is not what was recorded")
		}
	})
}

// While the store refuses this host for good, a retained turn does not end, and
// ends once the store is back.
func TestEndWaitsForTheStore(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, w *world) {
		a := w.home(ctx, "a")
		a.Begin(ctx, begin("1", ""), time.Now())
		synctest.Wait()
		var mu sync.Mutex
		away := true
		w.store.SetFault(func(standin.Call) standin.Effect {
			mu.Lock()
			defer mu.Unlock()
			if away {
				return standin.Refuse
			}
			return standin.Done
		})
		limited, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if _, err := a.End(limited, end("1", ""), time.Now()); err == nil {
			t.Error("a turn ended without its record")
		}
		mu.Lock()
		away = false
		mu.Unlock()
		if _, err := a.End(ctx, end("1", ""), time.Now()); err != nil {
			t.Error(err)
		}
	})
}
