package gossiper_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/gossiper"
	"github.com/citronpier/citronpier/messenger"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func heartbeat(address, incarnation string, sequence uint64) *messenger.Beat {
	return &messenger.Beat{Address: address, Incarnation: incarnation, Sequence: sequence}
}

func live(t gossiper.Table, now time.Time) []string {
	var names []string
	for _, b := range t.Live(now) {
		names = append(names, b.GetAddress())
	}
	return names
}

// A host is live only while its heartbeats arrive. After its heartbeats stop, it
// stays in the table for a long time and is still sent heartbeats: otherwise the two
// sides of a network partition would not find each other again.
func TestSilence(t *testing.T) {
	table := gossiper.Table{}.WithPeer("named", start).WithHeartbeat(heartbeat("heard", "1", 1), start)
	for _, c := range []struct {
		after time.Duration
		live  []string
		names []string
	}{
		{0, []string{"heard"}, []string{"heard", "named"}},
		{500 * time.Millisecond, []string{"heard"}, []string{"heard", "named"}},
		{700 * time.Millisecond, nil, []string{"heard", "named"}},
		{time.Minute, nil, []string{"heard", "named"}},
		{time.Hour, nil, nil},
	} {
		now := start.Add(c.after)
		remaining := table.WithoutExpired(now)
		if diff := cmp.Diff([][]string{c.live, c.names}, [][]string{live(remaining, now), remaining.Addresses()}); diff != "" {
			t.Errorf("after %s (-want +got):\n%s", c.after, diff)
		}
	}
}

// A heartbeat that arrives after a newer heartbeat of the same sender is ignored.
// Sequence numbers start again with each incarnation, so a lower number from a
// restarted host is accepted.
func TestHeartbeatsOutOfOrder(t *testing.T) {
	table := gossiper.Table{}.WithHeartbeat(heartbeat("h", "1", 5), start)
	later := start.Add(time.Second)
	if table.WithHeartbeat(heartbeat("h", "1", 4), later).Peer("h").Live(later) {
		t.Error("a heartbeat with an older sequence number made its host live")
	}
	if !table.WithHeartbeat(heartbeat("h", "2", 1), later).Peer("h").Live(later) {
		t.Error("a heartbeat of a new incarnation did not make its host live")
	}
}
