package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/messenger"
)

const (
	// farRounds is the number of rounds of load reports in which a host sends one report less
	// and the demands of its data centre to a host of another one in its place.
	farRounds = 4
	// farQuietRounds is the number of rounds for which a host without load goes on with that,
	// so that nearly all hosts hear of a demand that has ended.
	farQuietRounds = 200
	// maxFarDemands bounds the services in a report to another data centre, so that it is
	// not fragmented. The services with the lowest demands are left out.
	maxFarDemands = 60
)

// farDemands spreads the demands of whole data centres between them. The zero value is ready
// to use.
type farDemands struct {
	// sent is the number of hosts that got the demands.
	sent uint64
	// told has the newest demands of each other data centre. They do not expire: the hosts of
	// a data centre tell of a falling demand before they fall silent.
	told map[string][]*messenger.Demand
}

// isDataCentreReport reports whether a datagram has the demands of a data centre. Its sender
// has no address, so that versions without such reports ignore it.
func isDataCentreReport(m *messenger.Gossip) bool {
	return m.GetReport() > 0 && m.GetSender().GetAddress() == "" && m.GetSender().GetDatacentre() != ""
}

// store keeps the demands of another data centre.
func (f *farDemands) store(m *messenger.Gossip) {
	if f.told == nil {
		f.told = make(map[string][]*messenger.Demand)
	}
	f.told[m.GetSender().GetDatacentre()] = m.GetDemands()
}

// DataCentreDemands returns the demands of other data centres, as their hosts have told.
func (d *Detector) DataCentreDemands() map[string][]*messenger.Demand { return maps.Clone(d.far.told) }

// forgetDataCentres drops the demands of data centres without live hosts.
func (d *Detector) forgetDataCentres() {
	live := make(map[string]bool)
	for _, m := range d.table.Live() {
		live[m.GetDatacentre()] = true
	}
	maps.DeleteFunc(d.far.told, func(name string, _ []*messenger.Demand) bool { return !live[name] })
}

// farReport returns a report of the demands of the data centre to one of the given hosts, which
// get no load reports and take turns. It returns none unless one is due in this round.
func (d *Detector) farReport(hosts []string, now time.Time) []Envelope {
	if len(hosts) == 0 || d.loads.number%farRounds != 0 {
		return nil
	}
	first := xxhash.Sum64String(d.self.GetAddress()) % uint64(len(hosts))
	to := hosts[(first+d.far.sent)%uint64(len(hosts))]
	d.far.sent++
	return []Envelope{{To: to, Message: &messenger.Gossip{
		Sender: &messenger.Member{Datacentre: d.self.GetDatacentre()}, Report: d.loads.number, Demands: d.ownDataCentreDemands(now),
	}}}
}

// quietReport returns the report to another data centre that is due in a round in which this
// host has nothing to report of itself.
func (d *Detector) quietReport(hosts []string, now time.Time) []Envelope {
	if d.loads.quietRounds > farQuietRounds {
		return nil
	}
	d.loads.number++
	return d.farReport(hosts, now)
}

// ownDataCentreDemands returns the sum of the demands of the hosts of this data centre.
func (d *Detector) ownDataCentreDemands(now time.Time) []*messenger.Demand {
	rates := make(map[uint64]int64)
	add := func(demands []*messenger.Demand) {
		for _, demand := range demands {
			rates[demand.GetService()] += demand.GetRate()
		}
	}
	add(d.loads.demands)
	for _, r := range d.loads.current(now) {
		if d.table.Peer(r.Host).Member.GetDatacentre() == d.self.GetDatacentre() {
			add(r.Demands)
		}
	}
	var demands []*messenger.Demand
	for service, rate := range rates {
		demands = append(demands, &messenger.Demand{Service: service, Rate: rate})
	}
	slices.SortFunc(demands, func(a, b *messenger.Demand) int { return cmp.Compare(b.GetRate(), a.GetRate()) })
	return demands[:min(len(demands), maxFarDemands)]
}
