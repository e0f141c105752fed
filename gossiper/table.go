package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

const (
	// heartbeatInterval is the time between heartbeats to the same host.
	heartbeatInterval = 150 * time.Millisecond
	// livenessTimeout is the time without a heartbeat after which a host is no
	// longer live. It spans several intervals, since heartbeats may be lost or
	// late.
	livenessTimeout = 600 * time.Millisecond
	// expireAfter is how long heartbeats are still sent to a host that no longer
	// sends any, so that the two sides of a network partition find each other
	// again.
	expireAfter = 10 * time.Minute
)

// Peer is the state of another host.
type Peer struct {
	// Beat is the newest heartbeat from the host; nil if none was received.
	Beat *messenger.Beat
	// LastHeartbeat is when Beat was received.
	LastHeartbeat time.Time
	// LastSeen is when the host last sent a heartbeat or was named by another source:
	// the service-discovery list, a seed or another host's heartbeat. To limit
	// copies of the table, WithPeer updates LastSeen only every expireAfter/2.
	LastSeen time.Time
}

// Live reports whether a heartbeat was received from the host within the last
// livenessTimeout.
func (p Peer) Live(now time.Time) bool {
	return p.Beat != nil && now.Sub(p.LastHeartbeat) < livenessTimeout
}

// Table is an immutable set of the other hosts. The zero value is empty.
type Table struct {
	// peers is keyed by peer address and never modified.
	peers map[string]Peer
}

// WithPeer returns a table that includes the host with the address.
func (t Table) WithPeer(address string, now time.Time) Table {
	if p, ok := t.peers[address]; ok && now.Sub(p.LastSeen) < expireAfter/2 {
		return t
	}
	return t.with(address, func(p Peer) Peer {
		p.LastSeen = now
		return p
	})
}

// WithHeartbeat returns a table updated with a heartbeat. A heartbeat is ignored if
// it is not newer than the last heartbeat of the same incarnation of its sender:
// datagrams may arrive out of order.
func (t Table) WithHeartbeat(b *messenger.Beat, now time.Time) Table {
	old := t.peers[b.GetAddress()]
	if old.Beat.GetIncarnation() == b.GetIncarnation() && old.Beat.GetSequence() >= b.GetSequence() {
		return t
	}
	return t.with(b.GetAddress(), func(p Peer) Peer {
		return Peer{Beat: b, LastHeartbeat: now, LastSeen: now}
	})
}

// WithoutExpired returns a table without the hosts that are not live and that no
// source has named for longer than expireAfter.
func (t Table) WithoutExpired(now time.Time) Table {
	peers := maps.Clone(t.peers)
	maps.DeleteFunc(peers, func(_ string, p Peer) bool {
		return !p.Live(now) && now.Sub(p.LastSeen) > expireAfter
	})
	return Table{peers: peers}
}

// with returns a copy of the table in which change was applied to one host.
func (t Table) with(address string, change func(Peer) Peer) Table {
	peers := maps.Clone(t.peers)
	if peers == nil {
		peers = make(map[string]Peer)
	}
	peers[address] = change(peers[address])
	return Table{peers: peers}
}

// Addresses returns the sorted addresses of all known hosts, live or not. Heartbeats are
// sent to all of them.
func (t Table) Addresses() []string { return slices.Sorted(maps.Keys(t.peers)) }

// Live returns the newest heartbeat of each live host, sorted by address.
func (t Table) Live(now time.Time) []*messenger.Beat {
	var live []*messenger.Beat
	for _, p := range t.peers {
		if p.Live(now) {
			live = append(live, p.Beat)
		}
	}
	slices.SortFunc(live, func(a, b *messenger.Beat) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return live
}

// Peer returns the state of the host with the address; the zero Peer if the host is
// not known.
func (t Table) Peer(address string) Peer { return t.peers[address] }
