package keeper_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/standin"
)

// loseCalls returns a fault that loses all calls of the store.
func loseCalls(standin.Call) standin.Effect { return standin.LoseCall }

// outageTurn runs a turn of 2 tokens that is not retained, and returns the verdict.
func outageTurn(ctx context.Context, k *keeper.Keeper, program, turn string, budget int64) string {
	begin, end := beginRequest(turn, ""), endRequest(turn, "")
	begin.Program, begin.Budget, begin.Retain = program, budget, false
	end.Program, end.Retain, end.Generated = program, false, 2
	verdict := k.Begin(ctx, begin, time.Now()).GetVerdict()
	if verdict == messenger.BeginReply_RESERVED {
		time.Sleep(300 * time.Millisecond)
		_, _ = k.End(ctx, end, time.Now())
	}
	return verdict.String()
}

// Programs start throughout an outage of the store at a home that was home before.
func TestProgramsThatStartInOutageRefusedFromTheirSecondTurn(t *testing.T) {
	const turns = 4
	for _, outage := range []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second} {
		for _, c := range []struct {
			name   string
			first  bool
			budget int64
		}{{"first home", true, 3 * maxTokens}, {"later home", false, 8 * maxTokens}} {
			t.Run(fmt.Sprint(c.name, " ", outage), func(t *testing.T) {
				runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
					if !c.first {
						outageTurn(ctx, f.startHome(ctx, "earlier"), "e", "e", c.budget)
						f.releaseHomes()
					}
					home := f.startHome(ctx, "home")
					outageTurn(ctx, home, "q", "q", c.budget)
					synctest.Wait()
					f.store.SetFault(loseCalls)
					time.AfterFunc(outage, func() { f.store.SetFault(nil) })
					var running sync.WaitGroup
					var mu sync.Mutex
					got, want := make(map[string]int), make(map[string]int)
					for start := range int(outage/time.Second) - 1 {
						running.Go(func() {
							time.Sleep(time.Duration(start) * time.Second)
							for n := range turns {
								verdict := outageTurn(ctx, home, fmt.Sprint("p", start), fmt.Sprint(start, "-", n), c.budget)
								mu.Lock()
								got[verdict]++
								want["RESERVED"]++
								mu.Unlock()
							}
						})
					}
					running.Wait()
					if diff := cmp.Diff(want, got); diff != "" {
						t.Errorf("verdicts (-want +got):\n%s", diff)
					}
				})
			})
		}
	}
}

// releaseHomes carries out the planned stop of all homes.
func (f *fixture) releaseHomes() {
	for _, k := range f.homes {
		k.Release()
	}
	time.Sleep(time.Second)
}

// startTickingHome starts a home whose Tick is called each second until ctx ends.
func (f *fixture) startTickingHome(ctx context.Context, name string) *keeper.Keeper {
	k := f.startRewritingHome(ctx, name)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			k.Tick(time.Now())
		}
	}()
	return k
}

// leavePermit starts a home that records its permit, and ends its process.
func (f *fixture) leavePermit(ctx context.Context, retention time.Duration) {
	dying, kill := context.WithCancel(ctx)
	r := beginRequest("q", "")
	r.Program, r.Retain, r.Retention = "q", false, retention.Milliseconds()
	f.startRewritingHome(dying, "lost").Begin(ctx, r, time.Now())
	synctest.Wait()
	kill()
}

// A home spends its permit on a program that no record names, and dies in the outage.
func TestShareOfLostPermitHandedOutAgain(t *testing.T) {
	const budget = 8 * maxTokens
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		outageTurn(ctx, f.startHome(ctx, "earlier"), "e", "e", budget)
		f.releaseHomes()
		dying, kill := context.WithCancel(ctx)
		home := f.startHome(dying, "home")
		outageTurn(ctx, home, "q", "q", budget)
		synctest.Wait()
		f.store.SetFault(loseCalls)
		ran := 0
		for outageTurn(ctx, home, "p", fmt.Sprint("p", ran), budget) == "RESERVED" {
			ran++
		}
		kill()
		f.store.SetFault(nil)
		got := []any{ran, tokensLeft(ctx, f.startHome(ctx, "next"), budget)}
		if diff := cmp.Diff([]any{6, int64(budget * 3 / 4)}, got); diff != "" {
			t.Errorf("turns in the outage, tokens left (-want +got):\n%s", diff)
		}
	})
}

// A later home does not count a permit for programs that were named before it was recorded.
func TestPermitUsedForProgramThatARecordNames(t *testing.T) {
	const budget = 8 * maxTokens
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		outageTurn(ctx, f.startHome(ctx, "earlier"), "p", "p", budget)
		f.releaseHomes()
		home := f.startHome(ctx, "home")
		outageTurn(ctx, home, "q", "q", budget)
		synctest.Wait()
		f.store.SetFault(loseCalls)
		got := []string{outageTurn(ctx, home, "p", "named", budget), outageTurn(ctx, home, "n", "new", budget)}
		if diff := cmp.Diff([]string{"UNCERTAIN", "RESERVED"}, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

// A home that is paused for longer than its permit is valid wakes up in an outage, and a later
// home has closed the permit.
func TestPermitUsedAfterALongPause(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		outageTurn(ctx, f.startHome(ctx, "earlier"), "e", "e", 8*maxTokens)
		f.releaseHomes()
		home := f.startHome(ctx, "home")
		outageTurn(ctx, home, "q", "q", 8*maxTokens)
		time.Sleep(30 * time.Second)
		f.store.SetFault(loseCalls)
		if diff := cmp.Diff("UNCERTAIN", outageTurn(ctx, home, "p", "p", 8*maxTokens)); diff != "" {
			t.Errorf("verdict (-want +got):\n%s", diff)
		}
	})
}

// The share of a permit is missing for new programs for ever, or is handed out too early.
func TestPermitOfLostHomeIsClosedInTime(t *testing.T) {
	const budget = 40
	for _, c := range []struct {
		name                string
		after, keptAccounts time.Duration
		want                int64
	}{
		{"before the accounts are forgotten", 100 * time.Second, time.Minute, budget * 3 / 4},
		{"after the accounts are forgotten", 200 * time.Second, time.Minute, budget},
		{"written again before the store drops it", 3 * storeRetention, time.Hour, budget * 3 / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				living, stop := context.WithCancel(ctx)
				go f.expireUntil(partitions[0], time.Now().Add(c.after))
				f.leavePermit(ctx, c.keptAccounts)
				home := f.startTickingHome(living, "home")
				r := beginRequest("h", "")
				r.Program, r.Retain, r.Retention = "h", false, c.keptAccounts.Milliseconds()
				home.Begin(ctx, r, time.Now())
				time.Sleep(c.after)
				home.Release()
				time.Sleep(time.Second)
				stop()
				got := tokensLeft(ctx, f.startRewritingHome(ctx, "next"), budget)
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("tokens left of a new program (-want +got):\n%s", diff)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func TestPermitLeftOpenByPlannedStop(t *testing.T) {
	const budget = 40
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		outageTurn(ctx, f.startHome(ctx, "home"), "q", "q", budget)
		f.releaseHomes()
		if diff := cmp.Diff(int64(budget), tokensLeft(ctx, f.startHome(ctx, "next"), budget)); diff != "" {
			t.Errorf("tokens left of a new program (-want +got):\n%s", diff)
		}
	})
}

// A home reads another home's permit after a program has begun that no record names yet.
func TestPermitThatIsReadLateIsNotCounted(t *testing.T) {
	const budget = 40
	runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
		outageTurn(ctx, f.startHome(ctx, "earlier"), "e", "e", budget)
		f.releaseHomes()
		home := f.startHome(ctx, "home")
		f.store.SetFault(refuseAppends)
		outageTurn(ctx, home, "p", "p", budget)
		f.store.SetFault(func(c standin.Call) standin.Effect {
			if c.Append && c.Host == "home" {
				return standin.Refuse
			}
			return standin.Done
		})
		outageTurn(ctx, f.startHome(ctx, "other"), "q", "q", budget)
		synctest.Wait()
		f.store.SetFault(nil)
		time.Sleep(time.Second)
		if diff := cmp.Diff(int64(budget*3/4), tokensLeft(ctx, home, budget)); diff != "" {
			t.Errorf("tokens left (-want +got):\n%s", diff)
		}
	})
}
