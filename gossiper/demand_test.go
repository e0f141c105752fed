package gossiper

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/messenger"
)

// Hosts don't know what arrives in other data centres, or take an old demand for the present
// one after it has changed or ended.
func TestDataCentresKnowDemandsOfOthers(t *testing.T) {
	const hosts, service = 82, 7
	f := newFleet(hosts, 1)
	f.settled(startTime, allLive)
	for _, rate := range []int64{20000, 5000, 0} {
		for i, d := range f.hosts {
			var demands []*messenger.Demand
			if rate > 0 {
				demands = []*messenger.Demand{{Service: service, Rate: rate + int64(i%dataCentres)}}
			}
			d.SetLoad(nil, demands)
		}
		f.run(30 * time.Second)
		for i, d := range f.hosts {
			told := d.DataCentreDemands()
			if len(told) != dataCentres-1 {
				t.Fatalf("host %d knows the demands of %d other data centres", i, len(told))
			}
			checkDemands(t, i, told, rate, hosts)
		}
	}
}

// checkDemands checks that the demands of data centres are known, apart from hosts that are not
// heard for a while.
func checkDemands(t *testing.T, host int, told map[string][]*messenger.Demand, rate int64, hosts int) {
	t.Helper()
	const tolerated = 0.15
	least, most := float64(rate)*float64(hosts/dataCentres)*(1-tolerated), float64(rate+dataCentres)*float64(hosts/dataCentres+1)
	for name, demands := range told {
		got := 0.0
		for _, d := range demands {
			got += float64(d.GetRate())
		}
		if got < least || (rate > 0 && got > most) || (rate == 0 && got > 0) {
			t.Errorf("host %d, %s: demand %v, want %v to %v", host, name, got, least, most)
		}
	}
}

// A round of reports grows by the reports to other data centres.
func TestReportsToOtherDataCentresReplaceOthers(t *testing.T) {
	f := newFleet(82, 1)
	f.settled(startTime, allLive)
	d := f.hosts[0]
	d.SetLoad([]*messenger.Running{{Upstream: 1, Requests: 1}}, []*messenger.Demand{{Service: 7, Rate: 1}})
	far, rounds := 0, 3*farRounds
	for range rounds {
		f.now = f.now.Add(reportInterval)
		out := d.reportLoad(f.now)
		if len(out) != ReportFanout {
			t.Errorf("%d reports in a round, want %d", len(out), ReportFanout)
		}
		for _, e := range out {
			if isDataCentreReport(e.Message) {
				far++
			}
		}
	}
	if far != rounds/farRounds {
		t.Errorf("%d reports to other data centres in %d rounds, want %d", far, rounds, rounds/farRounds)
	}
}

// A host that runs an earlier version takes the demands of a data centre for those of a host.
func TestDataCentreReportHasNoSenderAddress(t *testing.T) {
	f := newFleet(82, 1)
	f.settled(startTime, allLive)
	d := f.hosts[0]
	d.SetLoad(nil, []*messenger.Demand{{Service: 7, Rate: 1}})
	for range farRounds {
		f.now = f.now.Add(reportInterval)
		for _, e := range d.reportLoad(f.now) {
			if isDataCentreReport(e.Message) && (e.Message.GetSender().GetAddress() != "" || proto.Size(e.Message) > 100) {
				t.Errorf("report to another data centre: %v", e.Message)
			}
		}
	}
}
