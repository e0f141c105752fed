package gossiper

import (
	"time"

	"github.com/citronpier/citronpier/messenger"
)

const (
	// maxUnknownPings is the number of pings, in as many probe intervals, to a host of which
	// only the address is known, and unknownPingsAtOnce the number of such hosts that are
	// pinged at once.
	maxUnknownPings    = 3
	unknownPingsAtOnce = 64
	// absentInterval is the time between two pings to hosts that are not live.
	absentInterval = time.Second
	// joinProbes is the number of hosts that a starting host asks for the state of all
	// members, and joinPulls how often it asks. Between two times it waits for
	// joinInterval, as many hosts may start at the same time and not know each other yet.
	joinProbes   = 3
	joinPulls    = 3
	joinInterval = 300 * time.Millisecond
)

// pingUnknown pings the hosts of which only the address is known and that were pinged fewer
// than limit times.
func (d *Detector) pingUnknown(limit int) []Envelope {
	if d.table.Len() == len(d.table.Live()) {
		return nil
	}
	var unknown []string
	for _, address := range d.table.Addresses() {
		if d.table.Peer(address).Member == nil && d.unknownPings[address] < limit {
			unknown = append(unknown, address)
		}
	}
	out := d.pingUnawaited(unknown, unknownPingsAtOnce, false)
	for _, e := range out {
		d.unknownPings[e.To]++
	}
	return out
}

// join asks other hosts for the state of all members, again if none has answered, and
// joinPulls times in all. Until the first answer it asks any hosts whose address is known.
func (d *Detector) join(now time.Time) []Envelope {
	if d.joined && (d.pulls == joinPulls || now.Sub(d.joinedAt) < joinInterval) {
		return nil
	}
	d.joined, d.joinedAt = false, now
	if d.pulls > 0 {
		return d.pingUnawaited(d.pickLive(1, ""), 1, true)
	}
	return d.pingUnawaited(d.table.Addresses(), joinProbes, true)
}

// pingAbsent pings one host that is not live, so that hosts find each other again.
func (d *Detector) pingAbsent() []Envelope {
	var absent []string
	for _, address := range d.table.Addresses() {
		if !d.table.Peer(address).Live() {
			absent = append(absent, address)
		}
	}
	return d.pingUnawaited(absent, 1, false)
}

// pingUnawaited pings at most count of the hosts, whose answers are not awaited. The
// hosts are told what this host knows of them, which they refute if it is wrong.
func (d *Detector) pingUnawaited(hosts []string, count int, join bool) []Envelope {
	var out []Envelope
	for _, i := range d.random.Perm(len(hosts)) {
		if len(out) == count {
			break
		}
		m := d.message(messenger.Gossip_PING)
		m.Join = join
		if known := d.table.Peer(hosts[i]).Member; known != nil {
			m.Members = append(m.Members, known)
		}
		out = append(out, Envelope{To: hosts[i], Message: m})
	}
	return out
}
