package citronpier

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/gossiper"
	"github.com/citronpier/citronpier/locator"
)

// A fleet whose hosts all hear each other changes its choices.
func TestSmallFleetChoosesLeastCost(t *testing.T) {
	now := time.Unix(1000, 0)
	const hosts = gossiper.ReportFanout + 1
	for _, c := range []struct {
		hosts    int
		pressure bool
		// dataCentres has what hosts have told of their data centres.
		dataCentres map[string]float64
		want        map[string]float64
	}{
		{hosts, false, nil, nil},
		{hosts, true, nil, map[string]float64{"dc0": 8, "dc1": 8}},
		{hosts + 1, false, nil, map[string]float64{"dc0": 8, "dc1": 10}},
		{hosts + 1, false, map[string]float64{"dc0": 3, "dc1": 5}, map[string]float64{"dc0": 8, "dc1": 5}},
	} {
		var list []descriptor.Host
		told := make(map[string]float64)
		for i := range c.hosts {
			h := descriptor.Host{ID: fmt.Sprint("host", i), DataCentre: fmt.Sprint("dc", i%2)}
			list = append(list, h)
			if h.DataCentre == "dc0" && i > 0 {
				told[h.ID] = 2
			}
		}
		e := &Entry{config: EntryConfig{Host: list[0], Contended: c.pressure}}
		service := xxhash.Sum64String("s")
		e.members.callers = locator.View{}.WithMembers(descriptor.Members{Hosts: list})
		e.members.told = map[uint64]map[string]float64{service: c.dataCentres}
		e.members.demands = map[uint64]map[string]float64{service: told}
		if diff := cmp.Diff(c.want, e.members.dataCentreDemands(e, service, now)); diff != "" {
			t.Errorf("%d hosts, pressure %v: demands of data centres (-want +got):\n%s", c.hosts, c.pressure, diff)
		}
	}
}
