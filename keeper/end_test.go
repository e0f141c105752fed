package keeper_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/navigator"
	"github.com/citronpier/citronpier/standin"
)

// endFunc sends a request that ends a turn.
type endFunc func(context.Context, *messenger.EndRequest) (*messenger.EndReply, error)

// endAt returns an endFunc that calls a home directly.
func endAt(k *keeper.Keeper) endFunc { return directHome{k}.End }

// endAsEntryHost ends a turn as an entry host does that holds the chain of the previous
// turn: it sends the chain once the home asks for it. It returns what it learns:
// "recorded" or why not.
func endAsEntryHost(ctx context.Context, end endFunc, r *messenger.EndRequest, chain string) string {
	r.Cached = true
	reply, err := end(ctx, r)
	if err == nil && reply.GetNeedsChain() {
		r.Chain = []byte(chain)
		reply, err = end(ctx, r)
	}
	return outcomeOf(reply, err)
}

// outcomeOf returns what the caller of End learns: "recorded", the reply or the error.
func outcomeOf(reply *messenger.EndReply, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case reply.GetRecorded():
		return "recorded"
	default:
		return reply.String()
	}
}

// chainAt returns the verdict of a home on a turn that continues the turn previous, and the
// chain that the home returns.
func chainAt(ctx context.Context, k *keeper.Keeper, previous string) string {
	reply := k.Begin(ctx, beginRequest("next", previous), time.Now())
	return fmt.Sprint(reply.GetVerdict(), " ", string(reply.GetChain()))
}

// directHome implements navigator.Home by calls of a Keeper.
type directHome struct{ *keeper.Keeper }

func (h directHome) Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error) {
	return h.Keeper.Begin(ctx, r, time.Now()), nil
}

func (h directHome) Bind(_ context.Context, r *messenger.BindRequest) (*messenger.BindReply, error) {
	return h.Keeper.Bind(r, time.Now()), nil
}

func (h directHome) End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error) {
	return h.Keeper.End(ctx, r, time.Now())
}

func (h directHome) Find(ctx context.Context, r *messenger.FindRequest) (*messenger.FindReply, error) {
	return h.Keeper.Find(ctx, r, time.Now()), nil
}

// lostHome implements navigator.Home for a host that has crashed.
type lostHome struct{ navigator.Home }

func (lostHome) End(context.Context, *messenger.EndRequest) (*messenger.EndReply, error) {
	return nil, &connector.LostError{Cause: &standin.NoResponseError{}}
}

func (lostHome) Find(context.Context, *messenger.FindRequest) (*messenger.FindReply, error) {
	return nil, &connector.LostError{Cause: &standin.NoResponseError{}}
}

func TestAnsweredTurnCutByExpiryOfPreviousTurn(t *testing.T) {
	for _, cached := range []bool{false, true} {
		t.Run(fmt.Sprint("cached ", cached), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				a := f.startSearchingHome(ctx, "a")
				runTurn(ctx, t, a, "1", "")
				time.Sleep(59 * time.Second)
				r := beginRequest("2", "1")
				r.Cached = cached
				if v := a.Begin(ctx, r, time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
					t.Fatalf("begin: %v", v)
				}
				time.Sleep(3 * time.Second)
				a.Tick(time.Now())
				got := []string{
					endAsEntryHost(ctx, endAt(a), endRequest("2", "1"), "in-1;out-1\n"),
					chainAt(ctx, a, "2"),
					chainAt(ctx, f.startHome(ctx, "later"), "2"),
				}
				const chain = "RESERVED in-1;out-1\nin-2;out-2\n"
				if diff := cmp.Diff([]string{"recorded", chain, chain}, got); diff != "" {
					t.Errorf("end, chains at this home and a later one (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// The partition that has the previous turn is unavailable.
func TestAnsweredTurnCutBySearchForKnownChain(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startSearchingHome(ctx, "a")
		runTurn(ctx, t, a, "1", "")
		endInFallbackShard(ctx, t, a)
		r := beginRequest("3", "2")
		r.Cached = true
		b := f.startSearchingHome(ctx, "b")
		if v := b.Begin(ctx, r, time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
			t.Fatalf("begin: %v", v)
		}
		f.refusePartition(partitions[1])
		got := []string{
			endAsEntryHost(ctx, endAt(b), endRequest("3", "2"), "in-1;out-1\nin-2;out-2\n"),
			chainAt(ctx, f.startHome(ctx, "later"), "3"),
		}
		if diff := cmp.Diff([]string{"recorded", "RESERVED in-1;out-1\nin-2;out-2\nin-3;out-3\n"}, got); diff != "" {
			t.Errorf("end, chain (-want +got):\n%s", diff)
		}
	})
}

// A home asks for a chain only if it lacks it and the entry host has said that it holds it.
func TestChainSentInVain(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startSearchingHome(ctx, "a")
		runTurn(ctx, t, a, "1", "")
		far := endRequest("far", "")
		far.Shard, far.Program = 1, "q"
		if diff := cmp.Diff("recorded", outcomeOf(endAt(a)(ctx, far))); diff != "" {
			t.Fatalf("end of the turn in another shard (-want +got):\n%s", diff)
		}
		var got []string
		for _, r := range []struct {
			id, previous string
			cached       bool
		}{{"first", "", true}, {"known", "1", true}, {"unknown", "far", true}, {"earlier release", "far", false}} {
			end := endRequest(r.id, r.previous)
			end.Cached = r.cached
			reply, err := a.End(ctx, end, time.Now())
			got = append(got, fmt.Sprint(r.id, " ", reply.GetRecorded(), " ", reply.GetNeedsChain(), " ", err))
		}
		want := []string{
			"first true false <nil>", "known true false <nil>", "unknown false true <nil>", "earlier release true false <nil>",
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("recorded, needs the chain, error (-want +got):\n%s", diff)
		}
	})
}

// homeWithNavigator starts a home that searches other shards through a navigator.
func (f *fixture) homeWithNavigator(ctx context.Context, id string, n *navigator.Navigator) navigator.Home {
	config := f.config(id)
	config.Home, config.Search = n.IsHome, n.Search
	return directHome{keeper.New(ctx, config)}
}

// One host is home of the turn's shard and of the previous turn's shard.
func TestAnsweredTurnCutByCrashOfPreviousTurnsHome(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		var mu sync.Mutex
		var hosts []descriptor.Host
		view := func(time.Time) locator.View {
			mu.Lock()
			defer mu.Unlock()
			return locator.View{}.WithMembers(descriptor.Members{Hosts: hosts})
		}
		homeOf := func(shard string) string {
			h, _ := view(time.Now()).Home("shard/"+shard, time.Now())
			return h.ID
		}
		for i := 0; len(hosts) == 0 || homeOf("0") != homeOf("1"); i++ {
			hosts = []descriptor.Host{{ID: fmt.Sprint("a", i)}, {ID: fmt.Sprint("b", i)}, {ID: fmt.Sprint("c", i)}}
		}
		homes := make(map[string]navigator.Home)
		newNavigator := func(self string) *navigator.Navigator {
			return navigator.New(navigator.Config{
				Self: self, View: view, Live: func(string) bool { return true },
				Open:     func(h descriptor.Host) navigator.Home { return homes[h.ID] },
				Counters: &counter.Set{}, Logger: zerolog.Nop(),
			})
		}
		for _, h := range hosts {
			homes[h.ID] = f.homeWithNavigator(ctx, h.ID, newNavigator(h.ID))
		}
		entry := newNavigator("entry")
		previous := endRequest("1", "")
		previous.Shard, previous.Program = 1, "q"
		if diff := cmp.Diff("recorded", outcomeOf(entry.End(ctx, previous))); diff != "" {
			t.Fatalf("end of the previous turn (-want +got):\n%s", diff)
		}
		reply, err := entry.Begin(ctx, beginRequest("2", "1"))
		if err != nil || reply.GetVerdict() != messenger.BeginReply_RESERVED {
			t.Fatalf("begin: %v %v", reply, err)
		}
		synctest.Wait()
		crashed := homeOf("0")
		homes[crashed] = lostHome{}
		limited, cancel := context.WithTimeout(ctx, 4*time.Second)
		defer cancel()
		// The other hosts learn of the crash.
		time.AfterFunc(500*time.Millisecond, func() {
			mu.Lock()
			defer mu.Unlock()
			hosts = slices.DeleteFunc(slices.Clone(hosts), func(h descriptor.Host) bool { return h.ID == crashed })
		})
		began := time.Now()
		got := []string{
			endAsEntryHost(limited, entry.End, endRequest("2", "1"), string(reply.GetChain())),
			chainAt(ctx, f.startHome(ctx, "later"), "2"),
		}
		if diff := cmp.Diff([]string{"recorded", "RESERVED in-1;out-1\nin-2;out-2\n"}, got); diff != "" {
			t.Errorf("end after %v, chain (-want +got):\n%s", time.Since(began), diff)
		}
	})
}

// The outage of half a second ends long before the caller's time.
func TestAnsweredTurnCutByMoveOfItsHomeInAnOutage(t *testing.T) {
	for _, moves := range []bool{false, true} {
		t.Run(fmt.Sprint("home moves ", moves), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				homes := map[string]*keeper.Keeper{"a": f.startHome(ctx, "a"), "b": f.startHome(ctx, "b"), "c": f.startHome(ctx, "c")}
				var hosts []descriptor.Host
				for name := range homes {
					hosts = append(hosts, descriptor.Host{ID: name})
				}
				view := func(time.Time) locator.View { return locator.View{}.WithMembers(descriptor.Members{Hosts: hosts}) }
				n := navigator.New(navigator.Config{
					Self: "entry", View: view, Live: func(string) bool { return true },
					Open:     func(h descriptor.Host) navigator.Home { return directHome{homes[h.ID]} },
					Counters: &counter.Set{}, Logger: zerolog.Nop(),
				})
				if _, err := n.Begin(ctx, beginRequest("1", "")); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if moves {
					first, _ := view(time.Now()).Home("shard/0", time.Now())
					homes[first.ID] = f.startHome(ctx, "restarted")
				}
				f.store.SetFault(func(standin.Call) standin.Effect { return standin.Refuse })
				time.AfterFunc(500*time.Millisecond, func() { f.store.SetFault(nil) })
				limited, cancel := context.WithTimeout(ctx, 4*time.Second)
				defer cancel()
				began := time.Now()
				got := []string{outcomeOf(n.End(limited, endRequest("1", ""))), chainAt(ctx, f.startHome(ctx, "later"), "1")}
				if diff := cmp.Diff([]string{"recorded", "RESERVED in-1;out-1\n"}, got); diff != "" {
					t.Errorf("end after %v, chain (-want +got):\n%s", time.Since(began), diff)
				}
			})
		})
	}
}

// A home that can't read the store at all hands the turn on to another host.
func TestAnsweredTurnHeldByHomeWithoutStore(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		f.store.SetFault(func(standin.Call) standin.Effect { return standin.Refuse })
		began := time.Now()
		got := outcomeOf(endAt(f.startHome(ctx, "a"))(ctx, endRequest("1", "")))
		if took := time.Since(began); got == "recorded" || took < 500*time.Millisecond || took > 2*time.Second {
			t.Errorf("%s after %v", got, took)
		}
	})
}

func TestQueueFilledByRepeatedEndOfOneTurn(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		a := f.startHome(ctx, "a")
		runTurn(ctx, t, a, "1", "")
		f.store.SetFault(func(c standin.Call) standin.Effect {
			if c.Append {
				return standin.Refuse
			}
			return standin.Done
		})
		repeated := endRequest("2", "1")
		repeated.Patient = true
		for range 1100 {
			limited, cancel := context.WithTimeout(ctx, time.Millisecond)
			if reply, err := a.End(limited, repeated, time.Now()); err == nil {
				t.Fatalf("end while the store takes no appends: %v", reply)
			}
			cancel()
		}
		time.AfterFunc(time.Second, func() { f.store.SetFault(nil) })
		got := []string{
			outcomeOf(a.End(ctx, endRequest("3", "1"), time.Now())),
			outcomeOf(a.End(ctx, repeated, time.Now())),
			chainAt(ctx, f.startHome(ctx, "later"), "2"),
		}
		if diff := cmp.Diff([]string{"recorded", "recorded", "RESERVED in-1;out-1\nin-2;out-2\n"}, got); diff != "" {
			t.Errorf("end of another turn and of the repeated one, its chain (-want +got):\n%s", diff)
		}
	})
}
