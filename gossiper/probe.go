package gossiper

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/messenger"
)

const (
	// probeInterval is the time between two pings of a host to its successor.
	probeInterval = 150 * time.Millisecond
	// randomInterval is the number of probe intervals between two pings to hosts in random
	// order.
	randomInterval = 2
	// ackTimeout is how long a pinged host has to answer before other hosts are asked
	// to ping it too.
	ackTimeout = 100 * time.Millisecond
	// indirectTimeout is how long a host then has to answer one of the pings before it
	// is suspected.
	indirectTimeout = 150 * time.Millisecond
	// suspicionTimeout is how long a suspected host has to refute the suspicion before
	// it counts as dead.
	suspicionTimeout = 300 * time.Millisecond
	// indirectProbes is the number of other hosts that are asked to ping a host.
	indirectProbes = 3
	// alertProbes is the number of hosts that a host pings in each probe interval for
	// alertTime after it has suspected one: where one host fails, many may.
	alertProbes = 4
	alertTime   = time.Second
)

// probe is a ping that was not answered yet.
type probe struct {
	target string
	sentAt time.Time
	// indirect is true once other hosts were asked to ping the target.
	indirect bool
}

// checkProbes asks other hosts to ping the hosts that did not answer in ackTimeout,
// and suspects those that did not answer the other hosts either.
func (d *Detector) checkProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, number := range slices.Sorted(maps.Keys(d.probes)) {
		p := d.probes[number]
		age := now.Sub(p.sentAt) - d.lag
		switch {
		case age >= ackTimeout+indirectTimeout:
			delete(d.probes, number)
			out = append(out, d.suspect(p, now)...)
		case age >= ackTimeout && !p.indirect:
			p.indirect = true
			out = append(out, d.pingIndirectly(number, p.target)...)
		}
	}
	return out
}

// pingDue sends the pings of one probe interval. Each host pings its successor, so that the
// failure of a host is noticed within one interval. It also pings hosts in random order,
// which finds the failures of many hosts at once.
func (d *Detector) pingDue(now time.Time) []Envelope {
	var out []Envelope
	if target, ok := d.successor(); ok {
		out = append(out, Envelope{To: target, Message: d.ping(target, now)})
	}
	for range d.randomProbes(now) {
		out = append(out, d.pingNext(now)...)
	}
	return out
}

// randomProbes returns the number of hosts to ping in random order in this probe interval.
func (d *Detector) randomProbes(now time.Time) int {
	d.interval++
	switch {
	case !d.suspectedAt.IsZero() && now.Sub(d.suspectedAt) <= alertTime:
		return min(alertProbes, len(d.table.Live()))
	case d.interval%randomInterval == 0:
		return 1
	default:
		return 0
	}
}

// successor returns the live host that follows this one on a ring in the order of a hash of
// the address, so that the hosts of a data centre don't all follow each other.
func (d *Detector) successor() (address string, ok bool) {
	own := xxhash.Sum64String(d.self.GetAddress())
	least := uint64(math.MaxUint64)
	for _, m := range d.table.Live() {
		// The distance on the ring wraps around.
		if distance := xxhash.Sum64String(m.GetAddress()) - own; distance <= least {
			address, ok, least = m.GetAddress(), true, distance
		}
	}
	return address, ok
}

// pingIndirectly pings a host again and asks other hosts to ping it.
func (d *Detector) pingIndirectly(number uint64, target string) []Envelope {
	ping := d.message(messenger.Gossip_PING)
	ping.Probe = number
	out := []Envelope{{To: target, Message: ping}}
	for _, helper := range d.pickLive(indirectProbes, target) {
		m := d.message(messenger.Gossip_INDIRECT)
		m.Probe, m.Target = number, target
		out = append(out, Envelope{To: helper, Message: m})
	}
	return out
}

// suspect marks a live host that answered no ping, and tells the host itself, which
// can refute it.
func (d *Detector) suspect(p *probe, now time.Time) []Envelope {
	known := d.table.Peer(p.target)
	if !known.Live() {
		return nil
	}
	d.suspectedAt = now
	if !known.suspected() {
		d.setStatus(known.Member, messenger.Status_SUSPECT, now)
	}
	return d.inform(p.target)
}

// checkSuspicions declares the hosts dead that did not refute a suspicion in time.
func (d *Detector) checkSuspicions(now time.Time) {
	for _, m := range d.table.Live() {
		p := d.table.Peer(m.GetAddress())
		if p.suspected() && now.Sub(p.ChangedAt) >= suspicionTimeout+d.lag {
			d.setStatus(m, messenger.Status_DEAD, now)
		}
	}
}

// pingNext pings the next live host. Hosts are pinged in a random order that is drawn
// again after each round, so that each is pinged once in a round.
func (d *Detector) pingNext(now time.Time) []Envelope {
	for range 2 {
		for d.next < len(d.order) {
			target := d.order[d.next]
			d.next++
			if d.table.Peer(target).Live() {
				return []Envelope{{To: target, Message: d.ping(target, now)}}
			}
		}
		d.order, d.next = d.pickLive(len(d.table.Live()), ""), 0
	}
	return nil
}

// ping returns a new ping, whose answer is awaited.
func (d *Detector) ping(target string, now time.Time) *messenger.Gossip {
	d.lastProbe++
	d.probes[d.lastProbe] = &probe{target: target, sentAt: now}
	m := d.message(messenger.Gossip_PING)
	m.Probe = d.lastProbe
	m.Members = d.sample()
	m.Crashes = d.sampleCrashes(now)
	return m
}
