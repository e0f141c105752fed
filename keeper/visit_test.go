package keeper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A shard is visited too rarely or never, because the interval of the calls is uneven or
// longer than a round, or because the process was paused.
func TestVisitsReachEachShardOnceInARound(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name   string
		shards int
		round  time.Duration
		calls  []time.Duration
		want   [][]int
		paused []bool
	}{
		{"even", 2, 2 * time.Second, []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}, [][]int{nil, {0}, {1}, {0}}, []bool{false, false, false, false}},
		{"uneven", 3, 3 * time.Second, []time.Duration{0, 1900 * time.Millisecond, 3100 * time.Millisecond}, [][]int{nil, {0}, {1, 2}}, []bool{false, false, false}},
		{"pause", 2, 2 * time.Second, []time.Duration{0, time.Hour, time.Hour + time.Second}, [][]int{nil, {0, 1}, {0}}, []bool{false, true, false}},
		{"short round", 2, 100 * time.Millisecond, []time.Duration{0, time.Second, 2 * time.Second}, [][]int{nil, {0, 1}, {0, 1}}, []bool{false, true, true}},
		{"no shards", 0, time.Second, []time.Duration{0, time.Minute}, [][]int{nil, nil}, []bool{false, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v visits
			var got [][]int
			var paused []bool
			for _, at := range c.calls {
				due, late := v.due(c.shards, c.round, start.Add(at))
				got, paused = append(got, due), append(paused, late)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("shards that are due (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.paused, paused); diff != "" {
				t.Errorf("paused (-want +got):\n%s", diff)
			}
		})
	}
}
