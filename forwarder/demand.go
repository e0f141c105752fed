package forwarder

import "github.com/citronpier/citronpier/descriptor"

// heardDemand is the demand of the hosts of a data centre that have told theirs.
type heardDemand struct {
	perSecond float64
	// heard is the number of these hosts, and hosts the number of all.
	heard, hosts float64
}

// SumDemands returns the requests a second that arrive at the hosts other than self, by data
// centre, given those that hosts have told, by the host's id. A host of the data centre of
// self that has told none has none. Hosts of other data centres exchange no load reports in a
// large fleet: those that have told none count as the mean of their data centre's hosts that
// have, or of all that have.
func SumDemands(perSecond map[string]float64, hosts []descriptor.Host, self descriptor.Host) map[string]float64 {
	var all heardDemand
	sums := make(map[string]heardDemand)
	for _, h := range hosts {
		if h.ID == self.ID {
			continue
		}
		sum := sums[h.DataCentre]
		sum.hosts++
		if told, ok := perSecond[h.ID]; ok || h.DataCentre == self.DataCentre {
			sum.perSecond += told
			sum.heard++
			all.perSecond += told
			all.heard++
		}
		sums[h.DataCentre] = sum
	}
	demands := make(map[string]float64, len(sums))
	for name, sum := range sums {
		known := sum
		if sum.heard == 0 {
			known = all
		}
		demands[name] = sum.hosts * known.perSecond / max(1, known.heard)
	}
	return demands
}
