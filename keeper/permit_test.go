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
