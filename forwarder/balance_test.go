package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// unevenLoad is 82 hosts in 4 data centres that send to 6 upstreams of different speeds.
func unevenLoad(utilisation float64) balanceLoad {
	return balanceLoad{
		hosts: 82, dataCentres: 4, slots: 6, queue: 24, speeds: []float64{1.2, 0.55, 1, 0.7, 1.1, 0.85},
		minWork: 6 * time.Millisecond, maxWork: 26 * time.Millisecond, utilisation: utilisation, length: 24 * time.Second,
	}
}

// promptLoad is 31 hosts in 3 data centres that send turns to 56 engines with prompt caches.
func promptLoad() balanceLoad {
	const engines, speeds = 56, 7
	l := balanceLoad{
		hosts: 31, dataCentres: 3, slots: 12, queue: 36, minWork: 300 * time.Millisecond, maxWork: 1700 * time.Millisecond,
		utilisation: 0.3, sharedPrompts: 16, length: 24 * time.Second,
	}
	for i := range engines {
		l.speeds = append(l.speeds, 0.7+0.6*float64(i%speeds)/(speeds-1))
	}
	return l
}

// playBoth plays a load with the exact least cost and balanced.
func playBoth(t *testing.T, l balanceLoad) (exact, balanced balanceResult) {
	t.Helper()
	exact = newBalanceFleet(l, 1).play()
	l.balanced = true
	balanced = newBalanceFleet(l, 1).play()
	t.Logf("utilisation %v\n   exact %+v\nbalanced %+v", l.utilisation, exact, balanced)
	return exact, balanced
}

// Hosts that know the same old loads all send to the same upstream while others are idle.
func TestBriefRequestsAreBalanced(t *testing.T) {
	for _, c := range []struct{ utilisation, full, spread, refused float64 }{
		{0.3, 0.06, 0.75, 0}, {0.7, 0.4, 0.1, 0}, {0.9, 0.62, 0.1, 0.01},
	} {
		t.Run(fmt.Sprint(c.utilisation), func(t *testing.T) {
			t.Parallel()
			exact, balanced := playBoth(t, unevenLoad(c.utilisation))
			if balanced.Full > c.full || balanced.Spread > c.spread || balanced.Refused > c.refused || balanced.Lost > 0 {
				t.Errorf("got %+v, want at most %+v", balanced, c)
			}
			if balanced.P99 > exact.P99*3/4 || balanced.Sent > exact.Sent*1.01 {
				t.Errorf("p99 %v, sent %v; exact least cost: p99 %v, sent %v", balanced.P99, balanced.Sent, exact.P99, exact.Sent)
			}
		})
	}
}

// Turns are sent away from the engines that have their prompts.
func TestBalancedTurnsKeepTheirEngines(t *testing.T) {
	t.Parallel()
	exact, balanced := playBoth(t, promptLoad())
	if diff := cmp.Diff(exact, balanced, cmpopts.EquateApprox(0.01, 0)); diff != "" {
		t.Errorf("exact least cost, balanced (-want +got):\n%s", diff)
	}
}

// An upstream that slows down is taken for fast for seconds.
func TestSlowUpstreamIsKnownWithinSecond(t *testing.T) {
	const requests = 10 // of one host in a second
	start := time.Unix(1000, 0)
	var h health
	now := start
	for range 4 * requests {
		now = now.Add(time.Second / requests)
		h = h.WithTime(1, 1, now)
	}
	for range requests {
		now = now.Add(time.Second / requests)
		h = h.WithTime(2, 1, now)
	}
	if got := h.relativeTime(now); got < 1.25 {
		t.Errorf("time relative to the mean after a second at half the speed: got %v, want at least 1.25", got)
	}
}
