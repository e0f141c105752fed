package keeper_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// beginGivenUp lets a home carry out a Begin whose caller has given it up.
func beginGivenUp(ctx context.Context, k *keeper.Keeper, r *messenger.BeginRequest) {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	k.Begin(ended, r, time.Now())
}

// knowEachOther makes all homes know that another one has written to the partition.
func knowEachOther(ctx context.Context, homes ...*keeper.Keeper) {
	for i, k := range append(homes, homes...) {
		r := beginRequest(fmt.Sprint("known", i), "")
		r.Program = "q"
		k.Begin(ctx, r, time.Now())
		k.Release()
		synctest.Wait()
	}
}

// tokensLeft returns what a home would hand out of program p's budget.
func tokensLeft(ctx context.Context, k *keeper.Keeper, budget int64) int64 {
	for left := budget; left > 0; left-- {
		r := beginRequest(fmt.Sprintf("left%p.%d", k, left), "")
		r.Budget, r.Most, r.Retain = budget, left, false
		if k.Begin(ctx, r, time.Now()).GetVerdict() == messenger.BeginReply_RESERVED {
			_, _ = k.End(ctx, &messenger.EndRequest{Program: r.GetProgram(), Turn: r.GetTurn()}, time.Now())
			return left
		}
	}
	return 0
}

// releaseAll makes all homes give back their allowances and read what the others recorded.
func releaseAll(ctx context.Context, homes ...*keeper.Keeper) {
	for range 2 {
		for _, k := range homes {
			k.Release()
			synctest.Wait()
			k.Find(ctx, &messenger.FindRequest{Turn: "none", Shards: []int32{0}}, time.Now())
		}
	}
}

// A host that stood still wakes and carries out the Begin of a turn that the entry host gave
// up, and that runs under another home by then.
func TestTurnIsFreeAfterItsBeginWasGivenUpAtAnotherHome(t *testing.T) {
	const budget, generated = 2 * maxTokens, 4
	for _, retain := range []bool{true, false} {
		for _, when := range []string{"before Begin", "before End", "after End"} {
			for _, endsAt := range []string{"running", "woken"} {
				t.Run(fmt.Sprint("retain ", retain, ", carried out ", when, ", ends at the ", endsAt, " home"), func(t *testing.T) {
					runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
						woken, running := f.startHome(ctx, "woken"), f.startHome(ctx, "running")
						knowEachOther(ctx, woken, running)
						begin, end := beginRequest("1", ""), endRequest("1", "")
						begin.Budget, begin.Retain, end.Retain, end.Generated = budget, retain, retain, generated
						wake := func(now string) {
							if now == when {
								beginGivenUp(ctx, woken, begin)
								synctest.Wait()
							}
						}
						wake("before Begin")
						if v := running.Begin(ctx, begin, time.Now()).GetVerdict(); v != messenger.BeginReply_RESERVED {
							t.Fatalf("begin: %v", v)
						}
						wake("before End")
						home := map[string]*keeper.Keeper{"running": running, "woken": woken}[endsAt]
						if _, err := home.End(ctx, end, time.Now()); err != nil {
							t.Fatal(err)
						}
						synctest.Wait()
						wake("after End")
						releaseAll(ctx, woken, running)
						want := int64(budget - generated)
						if !retain && when == "after End" && endsAt == "woken" {
							// The woken home has not read of the program: the turn counts at its most.
							want = budget - maxTokens
						}
						for name, k := range map[string]*keeper.Keeper{"next": f.startHome(ctx, "next"), "woken": woken, "running": running} {
							if diff := cmp.Diff(want, tokensLeft(ctx, k, budget)); diff != "" {
								t.Errorf("tokens left at the %s home (-want +got):\n%s", name, diff)
							}
							releaseAll(ctx, k)
						}
					})
				})
			}
		}
	}
}

// raceOfTurn plays one turn: several homes get its Begin, of which all but the last are given
// up and carried out at any time, and one or two get its End. It returns what the turn
// generated, or 0 if it did not run.
func raceOfTurn(ctx context.Context, random *rand.Rand, homes []*keeper.Keeper, begin *messenger.BeginRequest, end *messenger.EndRequest) int64 {
	late := func() {
		k := homes[random.IntN(len(homes))]
		after := time.Duration(random.IntN(400)) * time.Millisecond
		time.AfterFunc(after, func() { beginGivenUp(ctx, k, begin) })
	}
	for range random.IntN(3) {
		late()
	}
	time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	if homes[random.IntN(len(homes))].Begin(ctx, begin, time.Now()).GetVerdict() != messenger.BeginReply_RESERVED {
		return 0
	}
	time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	end.Generated = 1 + random.Int64N(begin.GetMost())
	for range 1 + random.IntN(2) {
		_, _ = homes[random.IntN(len(homes))].End(ctx, end, time.Now())
	}
	return end.Generated
}

// A program gets more than its budget and one turn, as homes that stood still carry out
// calls late and in any order.
func TestBudgetExceededByCallsCarriedOutLate(t *testing.T) {
	const seeds, turns, budget = 300, 30, 12 * maxTokens
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runInBubble(t, func(ctx context.Context, t *testing.T, f *fixture) {
				random := rand.New(rand.NewPCG(seed, 1))
				homes := []*keeper.Keeper{f.startHome(ctx, "a"), f.startHome(ctx, "b"), f.startHome(ctx, "c")}
				knowEachOther(ctx, homes...)
				spent := int64(0)
				for n := range turns {
					begin, end := beginRequest(fmt.Sprint("t", n), ""), endRequest(fmt.Sprint("t", n), "")
					begin.Budget = budget
					begin.Retain = random.IntN(2) == 0
					end.Retain = begin.Retain
					spent += raceOfTurn(ctx, random, homes, begin, end)
					if random.IntN(3) == 0 {
						homes[random.IntN(len(homes))].Tick(time.Now())
					}
				}
				time.Sleep(time.Second)
				releaseAll(ctx, homes...)
				if most := int64(budget + maxTokens); spent > most {
					t.Errorf("the program got %d tokens, allowed are %d", spent, most)
				}
				for i, k := range append(homes, f.startHome(ctx, "next")) {
					if left := tokensLeft(ctx, k, budget); left > max(0, budget-spent) {
						t.Errorf("the program got %d tokens of %d, and home %d has %d left", spent, budget, i, left)
					}
					releaseAll(ctx, k)
				}
			})
		})
	}
}
