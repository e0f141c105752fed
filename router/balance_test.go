package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/router"
)

func weighted(id string, wait time.Duration, spare float64) router.Weighted {
	return router.Weighted{Candidate: router.Candidate{Upstream: descriptor.Upstream{ID: id}, Wait: wait}, Spare: spare}
}

// All hosts choose the least of the same figures, or one whose cost is certainly higher.
func TestChooseBalancedByCapacity(t *testing.T) {
	const requests = 20000
	candidates := []router.Weighted{
		weighted("small", 0, 1), weighted("large", 0, 3), weighted("half as often", 5*time.Millisecond, 2),
		weighted("too far", 10*time.Millisecond, 100), weighted("broken", 0, 100),
	}
	candidates[4].BreakerOpen = true
	got := make(map[string]float64)
	for i := range requests {
		r := router.Request{Key: fmt.Sprint(i)}
		chosen, _ := router.ChooseBalanced(candidates, r, 10*time.Millisecond)
		got[chosen.Upstream.ID] += 1.0 / requests
		if again, _ := router.ChooseBalanced(candidates, r, 10*time.Millisecond); again.Upstream.ID != chosen.Upstream.ID {
			t.Fatalf("request %d: got %s, then %s", i, chosen.Upstream.ID, again.Upstream.ID)
		}
	}
	want := map[string]float64{"small": 0.2, "large": 0.6, "half as often": 0.2}
	if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0, 0.02)); diff != "" {
		t.Errorf("share of requests (-want +got):\n%s", diff)
	}
}

// No candidate has capacity to spare, or none is certain to be best.
func TestChooseBalancedFallsBackToLeastCost(t *testing.T) {
	candidates := []router.Weighted{weighted("b", 2, 0), weighted("a", 1, 0)}
	for _, uncertainty := range []time.Duration{0, time.Second} {
		if got, ok := router.ChooseBalanced(candidates, router.Request{}, uncertainty); !ok || got.Upstream.ID != "a" {
			t.Errorf("uncertainty %v: got %q, %v", uncertainty, got.Upstream.ID, ok)
		}
	}
	if _, ok := router.ChooseBalanced(nil, router.Request{}, time.Second); ok {
		t.Error("chosen from no candidates")
	}
}
