package challenger_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/standin"
)

// TestRestartReadsEachShardOnce checks that, after all hosts crashed, each shard
// is read from its beginning only by its home, the host that owns the shard by
// rendezvous hashing. Requests arrive at every host during the start. A host
// that has not yet discovered the others must not consider itself the home of
// all shards and load them all.
func TestRestartReadsEachShardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		defer fx.stop()
		for i := range 8 {
			r := turnRequest(fmt.Sprint("before", i), fmt.Sprint("p", i), "", "in\n")
			if got := fx.send(fx.live()[0], r); !fx.checkTurn(r, got, "") {
				t.Fatalf("turn %d: %+v", i, got)
			}
		}
		fx.kill(fx.live()...)
		var mu sync.Mutex
		loads := make(map[connector.Partition]int)
		fx.store.SetFault(func(c standin.Call) standin.Effect {
			mu.Lock()
			if !c.Append && c.Partition.Topic == "turns" && c.From == 0 {
				loads[c.Partition]++
			}
			mu.Unlock()
			return fx.fault(c)
		})
		time.Sleep(restartDelay)
		synctest.Wait()
		var calls sync.WaitGroup
		for i := range 8 {
			for _, p := range fx.live() {
				calls.Go(func() {
					fx.send(p, turnRequest(fmt.Sprint("after", i, p.name), fmt.Sprint("p", i), fmt.Sprint("before", i), "in\n"))
				})
			}
		}
		calls.Wait()
		mu.Lock()
		defer mu.Unlock()
		want := map[connector.Partition]int{shards[0]: 1, shards[1]: 1}
		if diff := cmp.Diff(want, loads); diff != "" {
			t.Errorf("reads from the beginning (-want +got):\n%s", diff)
		}
	})
}
