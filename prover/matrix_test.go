package prover_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestMatrix injects every fault (row) at every step (column). Each combination
// of a fault and a step is one test case.
func TestMatrix(t *testing.T) {
	for _, r := range rows {
		for _, c := range columns {
			t.Run(r.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runCase(t, r, c) })
			})
		}
	}
}

// pairSteps are the steps on which the guarantees of at-most-once execution and
// of budgets depend.
var pairSteps = []string{"claim", "grant", "intent", "outcome", "answer"}

// TestPairs injects every pair of faults at each of pairSteps. Two different
// faults are injected together; a fault that is paired with itself is injected
// a second time after repeatDelay.
func TestPairs(t *testing.T) {
	for i, first := range rows {
		for _, second := range rows[i:] {
			for _, c := range columns {
				if !slices.Contains(pairSteps, c.name) {
					continue
				}
				t.Run(first.name+"+"+second.name+"/"+c.name, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { runCase(t, pair(first, second), c) })
				})
			}
		}
	}
}

// repeatDelay is the time between two injections of the same fault.
const repeatDelay = 3 * time.Second

// pair returns a row that injects two faults at once, or the same fault twice
// with repeatDelay in between.
func pair(first, second row) row {
	return row{name: first.name + "+" + second.name, inject: func(fx *fixture) {
		first.inject(fx)
		if first.name == second.name {
			fx.after(repeatDelay, func() { second.inject(fx) })
			return
		}
		second.inject(fx)
	}}
}

// rulesTimeout is the time within which a new host must have the newest rules in
// force.
const rulesTimeout = 2 * time.Second

// runCase runs one test case: it runs the workload, injects the fault of r at the
// step c and checks the guarantees.
func runCase(t *testing.T, r row, c column) {
	fx := newFixture(t)
	defer fx.close()
	ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
	defer cancel()
	watchCtx, stopWatching := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		fx.watchVersions(watchCtx)
	}()
	fx.run(ctx, c, r.inject)
	// Wait, because the step may be reached after the last response: hosts
	// respond without waiting for the outcome record to be appended.
	time.Sleep(rulesTimeout)
	fx.pending.Wait()
	// After the last fault, hosts get rulesTimeout to apply the newest rules.
	time.Sleep(rulesTimeout)
	stopWatching()
	<-watched
	fx.check(r)
}
