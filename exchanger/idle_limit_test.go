package exchanger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The loss of an idle connection lowers the idle limit to half its idle time.
// The limit then doubles every idleLimitDoubling, up to maxIdleTimeout.
func TestIdleLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	lost := idleLimit{}.WithLoss(400*time.Millisecond, now)
	got := []time.Duration{
		idleLimit{}.maxIdle(now),
		lost.maxIdle(now),
		lost.maxIdle(now.Add(2 * idleLimitDoubling)),
		lost.maxIdle(now.Add(time.Hour)),
		lost.WithLoss(3*time.Second, now).maxIdle(now),
		lost.WithLoss(time.Millisecond, now).maxIdle(now),
	}
	want := []time.Duration{
		maxIdleTimeout, 200 * time.Millisecond, 800 * time.Millisecond, maxIdleTimeout, 200 * time.Millisecond, minIdleLimit,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("idle limits (-want +got):\n%s", diff)
	}
}
