package prover_test

import (
	"context"
	"testing"
	"testing/synctest"
)

// TestMatrix strikes with every fault at every step.
func TestMatrix(t *testing.T) {
	for _, r := range rows {
		for _, c := range columns {
			t.Run(r.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { cell(t, r, c) })
			})
		}
	}
}

func cell(t *testing.T, r row, c column) {
	w := newWorld(t)
	defer w.close()
	ctx, cancel := context.WithTimeout(t.Context(), settleIn)
	defer cancel()
	watching, stop := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		w.watch(watching)
	}()
	w.run(ctx, c, r.strike)
	stop()
	<-watched
	w.check(r, c)
}
