package citronpier

import (
	"time"

	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/gossiper"
	"github.com/citronpier/citronpier/messenger"
)

// competes reports whether this host has to expect that callers compete for capacity with
// those of hosts that it does not hear: there are more live hosts than exchange load reports
// with each other, or the settings say so. It then balances the load of upstreams by the
// demands of data centres, and admits programs by load.
func (e *Entry) competes(hosts int) bool {
	return e.config.Contended || hosts > gossiper.ReportFanout+1
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
	if !e.competes(len(hosts)) {
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
