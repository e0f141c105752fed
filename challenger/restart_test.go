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

// After all hosts have died each shard is read by its one home, though requests
// arrive at every host while it starts: a host that knows no other does not
// take itself for home of all.
func TestRestartReadsEachShardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		for i := range 8 {
			r := turnRequest(fmt.Sprint("before", i), fmt.Sprint("p", i), "", "in\n")
			if got := w.send(w.live()[0], r); !w.judgeTurn(r, got, "") {
				t.Fatalf("turn %d: %+v", i, got)
			}
		}
		w.kill(w.live()...)
		var mu sync.Mutex
		loads := make(map[connector.Partition]int)
		w.store.SetFault(func(c standin.Call) standin.Effect {
			mu.Lock()
			if !c.Append && c.Partition.Topic == "turns" && c.From == 0 {
				loads[c.Partition]++
			}
			mu.Unlock()
			return w.fault(c)
		})
		time.Sleep(restartIn)
		synctest.Wait()
		var calls sync.WaitGroup
		for i := range 8 {
			for _, p := range w.live() {
				calls.Go(func() {
					w.send(p, turnRequest(fmt.Sprint("after", i, p.name), fmt.Sprint("p", i), fmt.Sprint("before", i), "in\n"))
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
