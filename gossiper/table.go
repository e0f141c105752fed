package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

// expireAfter is how long a host that is not live is remembered and still pinged,
// so that the two sides of a network partition find each other again.
const expireAfter = 10 * time.Minute

// Peer is what this host knows of another host.
type Peer struct {
	// Member is the newest known state of the host; nil if only its address is known.
	Member *messenger.Member
	// ChangedAt is when Member was last replaced.
	ChangedAt time.Time
	// LastNamed is when a source last named the host: the service-discovery list, a
	// seed or another host. To limit copies of the table, WithAddress updates it only
	// every expireAfter/2.
	LastNamed time.Time
}

// Live reports whether the host counts as live. A suspected host does, until the time
// to refute the suspicion is over.
func (p Peer) Live() bool { return p.Member != nil && p.Member.GetStatus() != messenger.Status_DEAD }

// suspected reports whether the host is suspected to be dead.
func (p Peer) suspected() bool {
	return p.Member != nil && p.Member.GetStatus() == messenger.Status_SUSPECT
}

// Table is an immutable set of the other hosts. The zero value is empty.
type Table struct {
	// peers is keyed by peer address and never modified.
	peers map[string]Peer
	// live has the state of each live host, sorted by address.
	live []*messenger.Member
}

// WithAddress returns a table that includes the host with the address.
func (t Table) WithAddress(address string, now time.Time) Table {
	if p, ok := t.peers[address]; ok && now.Sub(p.LastNamed) < expireAfter/2 {
		return t
	}
	p := t.peers[address]
	p.LastNamed = now
	peers := clonePeers(t.peers)
	peers[address] = p
	return Table{peers: peers, live: t.live}
}

// WithMembers returns a table updated with states of hosts, and the states that
// replaced an older one. States are ordered by version, and states of one version by
// status.
func (t Table) WithMembers(members []*messenger.Member, now time.Time) (Table, []*messenger.Member) {
	peers := t.peers
	var changed []*messenger.Member
	for _, m := range members {
		if !supersedes(m, peers[m.GetAddress()].Member) {
			continue
		}
		if len(changed) == 0 {
			peers = clonePeers(t.peers)
		}
		peers[m.GetAddress()] = Peer{Member: m, ChangedAt: now, LastNamed: now}
		changed = append(changed, m)
	}
	if len(changed) == 0 {
		return t, nil
	}
	return Table{peers: peers, live: withStates(t.live, changed)}, changed
}

// clonePeers returns a copy of peers that can be written to.
func clonePeers(peers map[string]Peer) map[string]Peer {
	if peers == nil {
		return make(map[string]Peer)
	}
	return maps.Clone(peers)
}

// supersedes reports whether state a of a host replaces state b, which is nil if no state
// is known.
func supersedes(a, b *messenger.Member) bool {
	if b == nil {
		return true
	}
	if a.GetVersion() != b.GetVersion() {
		return a.GetVersion() > b.GetVersion()
	}
	return a.GetStatus() > b.GetStatus()
}

// WithoutExpired returns a table without the hosts that are not live and that no
// source has named for longer than expireAfter.
func (t Table) WithoutExpired(now time.Time) Table {
	expired := func(_ string, p Peer) bool { return !p.Live() && now.Sub(p.LastNamed) > expireAfter }
	for address, p := range t.peers {
		if expired(address, p) {
			peers := maps.Clone(t.peers)
			maps.DeleteFunc(peers, expired)
			return Table{peers: peers, live: t.live}
		}
	}
	return t
}

// withStates returns a copy of live, the sorted states of live hosts, in which the
// changed states replace those of the same hosts.
func withStates(live, changed []*messenger.Member) []*messenger.Member {
	live = slices.Clone(live)
	for _, m := range changed {
		at, known := slices.BinarySearchFunc(live, m.GetAddress(), func(m *messenger.Member, address string) int {
			return cmp.Compare(m.GetAddress(), address)
		})
		dead := m.GetStatus() == messenger.Status_DEAD
		switch {
		case known && dead:
			live = slices.Delete(live, at, at+1)
		case known:
			live[at] = m
		case !dead:
			live = slices.Insert(live, at, m)
		}
	}
	return live
}

// Addresses returns the sorted addresses of all known hosts, live or not.
func (t Table) Addresses() []string { return slices.Sorted(maps.Keys(t.peers)) }

// Live returns the state of each live host, sorted by address. Callers must not
// modify the slice.
func (t Table) Live() []*messenger.Member { return t.live }

// Len returns the number of known hosts, live or not.
func (t Table) Len() int { return len(t.peers) }

// Peer returns what is known of the host with the address; the zero Peer if the host
// is not known.
func (t Table) Peer(address string) Peer { return t.peers[address] }
