package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronpier/citronpier/admitter"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/watcher"
)

// BenchmarkAdmission measures the decision on a first turn over 526 upstreams: with the load
// that is used again, and with the load measured each time.
func BenchmarkAdmission(b *testing.B) {
	const upstreams = 526
	var list watcher.List
	now := time.Now()
	for n := range upstreams {
		u := descriptor.Upstream{ID: fmt.Sprint("u", n), Service: "s", Slots: 12}
		list = list.WithUpstream(u, int64(n), now)
	}
	f := New(Config{
		Upstreams:    func() (watcher.List, bool) { return list, true },
		RemoteLoads:  func(time.Time) map[uint64]UpstreamLoad { return nil },
		RemoteDemand: func(string, time.Time) RemoteDemand { return RemoteDemand{Telling: 1, Hosts: 1} },
		Tracker:      &UpstreamTracker{}, Counters: &counter.Set{}, Admission: &admitter.Admitter{},
	})
	e := &exchange{
		Forwarder: f, admission: admission{admitter: f.config.Admission},
		request: descriptor.Request{ID: "id"}, service: descriptor.Service{Name: "s"}, route: descriptor.Route{Name: "r"},
	}
	for name, step := range map[string]time.Duration{"used again": 0, "measured": loadInterval} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(step)
				e.admit(now)
			}
		})
	}
}
