package exchanger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestTrust(t *testing.T) {
	now := time.Unix(1000, 0)
	lost := trust{}.WithLoss(400*time.Millisecond, now)
	got := []time.Duration{
		trust{}.at(now),
		lost.at(now),
		lost.at(now.Add(2 * trustDoubles)),
		lost.at(now.Add(time.Hour)),
		lost.WithLoss(3*time.Second, now).at(now),
		lost.WithLoss(time.Millisecond, now).at(now),
	}
	want := []time.Duration{
		longestIdle, 200 * time.Millisecond, 800 * time.Millisecond, longestIdle, 200 * time.Millisecond, leastTrust,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("longest rest (-want +got):\n%s", diff)
	}
}
