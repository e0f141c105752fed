package citronpier

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/gossiper"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// percent is 100%: load reports contain percentages, and other code uses shares
	// from 0 to 1.
	percent = 100
	// demandUnit is the number of seconds in which load reports count a demand.
	demandUnit = 1000
)

// sumReports returns, from the load reports of other hosts, the loads of upstreams by the hash
// of their id, and the requests a second that arrive at the hosts, by the hash of the service's
// name and by host.
func sumReports(reports []gossiper.Report) (map[uint64]forwarder.UpstreamLoad, map[uint64]map[string]float64) {
	loads := make(map[uint64]forwarder.UpstreamLoad)
	demands := make(map[uint64]map[string]float64)
	for _, report := range reports {
		for _, r := range report.Running {
			loads[r.GetUpstream()] = loads[r.GetUpstream()].WithHost(int(r.GetRequests()), float64(r.GetFailing())/percent, float64(r.GetSlow())/percent)
		}
		for _, d := range report.Demands {
			if demands[d.GetService()] == nil {
				demands[d.GetService()] = make(map[string]float64)
			}
			demands[d.GetService()][report.Host] = float64(d.GetRate()) / demandUnit
		}
	}
	return loads, demands
}

// tellingHosts returns the number of hosts that exchange load reports in a data centre: those
// of the data centre, or all in a small fleet.
func tellingHosts(hosts []descriptor.Host, dataCentre string) int {
	if len(hosts) <= gossiper.ReportFanout+1 {
		return len(hosts)
	}
	near := 0
	for _, h := range hosts {
		if h.DataCentre == dataCentre {
			near++
		}
	}
	return near
}

// remoteLoads returns the loads of upstreams summed over the reports of other
// hosts, by the hash of the upstream's ID.
func (e *Entry) remoteLoads(now time.Time) map[uint64]forwarder.UpstreamLoad {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.refresh(e, now)
	return e.members.loads
}

// remoteDemand returns what other hosts would send to the upstreams of a service.
func (e *Entry) remoteDemand(service string, now time.Time) forwarder.RemoteDemand {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.refresh(e, now)
	return forwarder.RemoteDemand{
		Self:      e.config.Host.ID,
		PerSecond: e.members.demands[xxhash.Sum64String(service)],
		Telling:   e.members.telling,
		Hosts:     len(e.members.callers.Live(now)),

		DataCentres: e.members.dataCentreDemands(e, xxhash.Sum64String(service), now),
	}
}

// demands returns the requests that arrive at this host for each service, for other hosts.
func (e *Entry) demands(now time.Time) []*messenger.Demand {
	var demands []*messenger.Demand
	for service, perSecond := range e.tracker.Demands(now) {
		demands = append(demands, &messenger.Demand{Service: xxhash.Sum64String(service), Rate: int64(perSecond * demandUnit)})
	}
	return demands
}

// running returns the requests that this host has in flight at upstreams, for other
// hosts.
func (e *Entry) running(now time.Time) []*messenger.Running {
	var running []*messenger.Running
	for hash, l := range e.tracker.Loads(now) {
		running = append(running, &messenger.Running{
			Upstream: hash, Requests: int32(l.InFlight), Failing: int32(l.FailureRateSum * percent), Slow: int32(l.SlowdownSum * percent),
		})
	}
	return running
}
