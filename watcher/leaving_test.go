package watcher_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/watcher"
)

// A host that did not see an upstream ready can't tell since when it leaves.
func TestUpstreamThatLeftLongAgoCountsAsLeavingLately(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	upstream := func(id string, sequence int64, leaving bool) descriptor.Upstream {
		return descriptor.Upstream{ID: id, Service: "s", Version: "v", Leaving: leaving, HeartbeatSequence: sequence}
	}
	list := watcher.List{}.
		WithUpstream(upstream("leaving at first sight", 1, true), 1, at(1)).
		WithUpstream(upstream("ready", 1, false), 2, at(1)).
		WithUpstream(upstream("leaving", 1, false), 3, at(1)).
		WithUpstream(upstream("removed", 1, false), 4, at(1)).
		WithUpstream(upstream("leaving", 2, true), 5, at(2)).
		WithUpstream(upstream("leaving", 3, true), 6, at(4)).
		WithRemoved("leaving", 7, time.Time{}, at(5)).
		WithRemoved("removed", 8, time.Time{}, at(3))
	got := make(map[int][]string)
	for _, after := range []int{1, 2, 3} {
		for _, u := range list.LeavingOfBuild(descriptor.Build{Service: "s", Version: "v"}, at(after)) {
			got[after] = append(got[after], u.ID)
		}
	}
	want := map[int][]string{1: {"leaving", "removed"}, 2: {"removed"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("upstreams that began to leave after a second (-want +got):\n%s", diff)
	}
}

// The upstream started again, and the entry of its new incarnation can't be decoded.
func TestStreamGoesOnAtUpstreamWhoseEntryNamesNoVersion(t *testing.T) {
	runWatcher(t, direct, func(t *testing.T, f *fixture) {
		f.put(t, upstreams, "u", ready)
		time.Sleep(time.Second)
		f.put(t, upstreams, "u", "7")
		time.Sleep(time.Second)
		list, _ := f.watcher.List()
		got := list.LeavingOfBuild(descriptor.Build{Service: "s"}, time.Now().Add(-2*time.Second))
		if diff := cmp.Diff([]descriptor.Upstream(nil), got); diff != "" {
			t.Errorf("upstreams that may go on with a stream (-want +got):\n%s", diff)
		}
	})
}
