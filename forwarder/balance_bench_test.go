package forwarder

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// manyUpstreams returns as many upstreams as the largest deployment has, in five data centres.
func manyUpstreams() []descriptor.Upstream {
	const upstreams, dataCentres = 526, 5
	var list []descriptor.Upstream
	for i := range upstreams {
		list = append(list, descriptor.Upstream{ID: fmt.Sprintf("i-%08x", i*7919), Service: "s", Slots: 6, DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	return list
}

// A choice among many upstreams uses few of them, or sends requests away from the data centre.
func TestManyUpstreamsShareRequests(t *testing.T) {
	const requests = 50000
	list := manyUpstreams()
	var tracker UpstreamTracker
	c := choiceInput{dataCentre: "dc0", remoteDemand: RemoteDemand{DataCentres: map[string]float64{"dc0": 100}}}
	served := make(map[string]int)
	for i := range requests {
		c.request.ID = fmt.Sprint("r", i)
		chosen, ok := tracker.choose(list, c, time.Unix(1000, 0))
		if !ok || chosen.DataCentre != c.dataCentre {
			t.Fatalf("request %d: chosen %q in %q", i, chosen.ID, chosen.DataCentre)
		}
		served[chosen.ID]++
	}
	local := (len(list) + 4) / 5
	if mean := requests / local; len(served) < local || slices.Max(slices.Collect(maps.Values(served))) > 2*mean {
		t.Errorf("%d of %d upstreams served, the busiest %d requests; mean %d", len(served), local, slices.Max(slices.Collect(maps.Values(served))), mean)
	}
}

// BenchmarkChooseBalanced measures a choice among many upstreams.
func BenchmarkChooseBalanced(b *testing.B) {
	list := manyUpstreams()
	for _, prompt := range []bool{false, true} {
		b.Run(fmt.Sprint("prompt=", prompt), func(b *testing.B) {
			var t UpstreamTracker
			now := time.Unix(1000, 0)
			c := choiceInput{
				request: descriptor.Request{ID: "r"}, dataCentre: "dc0", remoteLoads: make(map[uint64]UpstreamLoad),
				remoteDemand: RemoteDemand{DataCentres: map[string]float64{"dc0": 100, "dc1": 50, "dc2": 200, "dc3": 10, "dc4": 40}},
			}
			if prompt {
				c.request.Prompt = sharedTokens + turnTokens
				c.request.PromptParts = []descriptor.PromptPart{{ID: "shared", Tokens: sharedTokens}, {ID: "own", Tokens: turnTokens}}
			}
			for _, u := range list {
				c.remoteLoads[t.stateOf(u).hash] = UpstreamLoad{InFlight: 3}
			}
			ids := make([]string, 1024)
			for i := range ids {
				ids[i] = fmt.Sprint("r", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c.request.ID = ids[i%len(ids)]
				i++
				now = now.Add(time.Millisecond)
				if _, ok := t.choose(list, c, now); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}
