package gossiper_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/gossiper"
	"github.com/citronpier/citronpier/messenger"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func beat(address, incarnation string, sequence uint64) *messenger.Beat {
	return &messenger.Beat{Address: address, Incarnation: incarnation, Sequence: sequence}
}

func live(t gossiper.Table, now time.Time) []string {
	var names []string
	for _, b := range t.Live(now) {
		names = append(names, b.GetAddress())
	}
	return names
}

// A host is live while it is heard, and is sent heartbeats long after, so that
// the sides of a partition find each other again.
func TestSilence(t *testing.T) {
	table := gossiper.Table{}.WithName("named", start).WithBeat(beat("heard", "1", 1), start)
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
		kept := table.WithoutForgotten(now)
		if diff := cmp.Diff([][]string{c.live, c.names}, [][]string{live(kept, now), kept.Names()}); diff != "" {
			t.Errorf("after %s (-want +got):\n%s", c.after, diff)
		}
	}
}

// Heartbeats that were overtaken are left out; a new incarnation counts anew.
func TestOvertakenBeats(t *testing.T) {
	table := gossiper.Table{}.WithBeat(beat("h", "1", 5), start)
	later := start.Add(time.Second)
	if table.WithBeat(beat("h", "1", 4), later).Peer("h").Live(later) {
		t.Error("an overtaken heartbeat made a host live")
	}
	if !table.WithBeat(beat("h", "2", 1), later).Peer("h").Live(later) {
		t.Error("a new incarnation is not live")
	}
}
