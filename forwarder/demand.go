package forwarder

import "github.com/citronpier/citronpier/descriptor"

// heardDemand is the demand of the hosts of a data centre that have told theirs.
type heardDemand struct {
	perSecond float64
	// heard is the number of these hosts, and hosts the number of all.
	heard, hosts float64
}

// scaled returns the demand of all hosts of the data centre. If none is heard, each counts as
// the mean of those in all.
func (d heardDemand) scaled(all heardDemand) float64 {
	known := d
	if d.heard == 0 {
		known = all
	}
	return d.hosts * known.perSecond / max(1, known.heard)
}

// SumDemands returns the requests a second that arrive at the hosts other than self, by data
// centre, given those that hosts have told of themselves, by the host's id, and of their whole
// data centre, by its name. A host of the data centre of self that has told none has none.
// Hosts of other data centres exchange no load reports in a large fleet. Where none has told
// of its data centre, each counts as the mean of its hosts that are heard, or of all that are.
func SumDemands(perSecond, dataCentres map[string]float64, hosts []descriptor.Host, self descriptor.Host) map[string]float64 {
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
		told, ok := dataCentres[name]
		if !ok || sum.heard == sum.hosts {
			told = sum.scaled(all)
		}
		demands[name] = told
	}
	return demands
}
