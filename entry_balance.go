package citronpier

import (
	"time"

	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/gossiper"
	"github.com/citronpier/citronpier/messenger"
)

// balances reports whether this host balances the load of upstreams by the demands of data
// centres: there are more live hosts than exchange load reports with each other, or the
// settings ask for it.
func (e *Entry) balances(hosts int) bool {
	return e.config.Pressure || hosts > gossiper.ReportFanout+1
}

// demandsByService returns the requests a second that other data centres have told, by the
// hash of the service's name and by data centre.
func demandsByService(told map[string][]*messenger.Demand) map[uint64]map[string]float64 {
	demands := make(map[uint64]map[string]float64)
	for dataCentre, services := range told {
		for _, d := range services {
			if demands[d.GetService()] == nil {
				demands[d.GetService()] = make(map[string]float64)
			}
			demands[d.GetService()][dataCentre] = float64(d.GetRate()) / demandUnit
		}
	}
	return demands
}

// dataCentreDemands returns the requests a second for a service, by the hash of its name,
// that arrive at other hosts, by data centre; nil if this host does not balance the load.
// The caller holds c.mu and must not modify the map.
func (c *memberCache) dataCentreDemands(e *Entry, service uint64, now time.Time) map[string]float64 {
	hosts := c.callers.Live(now)
	if !e.balances(len(hosts)) {
		return nil
	}
	if demands, ok := c.byDataCentre[service]; ok {
		return demands
	}
	if c.byDataCentre == nil {
		c.byDataCentre = make(map[uint64]map[string]float64)
	}
	c.byDataCentre[service] = forwarder.SumDemands(c.demands[service], c.told[service], hosts, e.config.Host)
	return c.byDataCentre[service]
}
