package citronpier

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

func TestMembershipCountsAsSettledWhenSuspicionHasJustEnded(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	suspectedAt := start.Add(time.Minute)
	for _, tc := range []struct {
		name    string
		cleared time.Duration // after suspectedAt; 0 lets the suspicion expire
		ended   time.Duration // after suspectedAt
	}{
		{"cleared", 500 * time.Millisecond, 500 * time.Millisecond},
		{"expired", 0, suspicionTime},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table memberTable
			self := descriptor.Host{ID: "host-1"}
			table.update(descriptor.Members{Hosts: []descriptor.Host{self, {ID: "host-2"}}}, self, start)
			table.suspect("host-2", suspectedAt.Add(suspicionTime))
			if tc.cleared > 0 {
				table.clearSuspicion("host-2", suspectedAt.Add(tc.cleared))
			}
			ended := suspectedAt.Add(tc.ended)
			got := []bool{
				table.settled(suspectedAt.Add(settleTime + time.Millisecond)),
				table.settled(ended.Add(settleTime - time.Millisecond)),
				table.settled(ended.Add(settleTime + time.Millisecond)),
			}
			if diff := cmp.Diff([]bool{false, false, true}, got); diff != "" {
				t.Errorf("settled after the start and around the end of the suspicion (-want +got):\n%s", diff)
			}
		})
	}
}

func TestMembershipNeverSettlesWhileDeadHostStaysListed(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var table memberTable
	self := descriptor.Host{ID: "host-1"}
	table.update(descriptor.Members{Hosts: []descriptor.Host{self, {ID: "host-2"}}}, self, start)
	for at := time.Duration(0); at <= 2*settleTime; at += suspicionTime / 2 {
		table.suspect("host-2", start.Add(at+suspicionTime))
	}
	if !table.settled(start.Add(2 * settleTime)) {
		t.Error("a suspicion that is renewed counts as a change of the live hosts")
	}
}
