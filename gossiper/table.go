package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

const (
	// beatEvery is the time between heartbeats.
	beatEvery = 150 * time.Millisecond
	// silence is how long a host may be unheard of before it counts as gone:
	// some heartbeats may be lost or late.
	silence = 600 * time.Millisecond
	// forgotten is how long a gone host is still sent heartbeats, so that two
	// sides of a partition find each other again.
	forgotten = 10 * time.Minute
)

// Peer is what is known of another host.
type Peer struct {
	// Beat is the last heartbeat; nil where none has come.
	Beat *messenger.Beat
	// Heard is when it came.
	Heard time.Time
	// Known is when the host was first or last named by someone.
	Known time.Time
}

// Live reports whether the host was heard of late.
func (p Peer) Live(now time.Time) bool { return p.Beat != nil && now.Sub(p.Heard) < silence }

// Table is an immutable picture of the other hosts by their addresses.
type Table struct {
	peers map[string]Peer
}

// WithName returns a table that knows of a host.
func (t Table) WithName(address string, now time.Time) Table {
	if p, ok := t.peers[address]; ok && now.Sub(p.Known) < forgotten/2 {
		return t
	}
	return t.with(address, func(p Peer) Peer {
		p.Known = now
		return p
	})
}

// WithBeat returns a table with a newer heartbeat of a host. Heartbeats that
// overtook it are left out.
func (t Table) WithBeat(b *messenger.Beat, now time.Time) Table {
	old := t.peers[b.GetAddress()]
	if old.Beat.GetIncarnation() == b.GetIncarnation() && old.Beat.GetSequence() >= b.GetSequence() {
		return t
	}
	return t.with(b.GetAddress(), func(p Peer) Peer {
		return Peer{Beat: b, Heard: now, Known: now}
	})
}

// WithoutForgotten returns a table without the hosts that are long gone.
func (t Table) WithoutForgotten(now time.Time) Table {
	peers := maps.Clone(t.peers)
	maps.DeleteFunc(peers, func(_ string, p Peer) bool {
		return !p.Live(now) && now.Sub(p.Known) > forgotten
	})
	return Table{peers: peers}
}

func (t Table) with(address string, change func(Peer) Peer) Table {
	peers := maps.Clone(t.peers)
	if peers == nil {
		peers = make(map[string]Peer)
	}
	peers[address] = change(peers[address])
	return Table{peers: peers}
}

// Names returns the addresses of all hosts that are sent heartbeats.
func (t Table) Names() []string { return slices.Sorted(maps.Keys(t.peers)) }

// Live returns the heartbeats of the hosts heard of late, by address.
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

// Peer returns what is known of a host.
func (t Table) Peer(address string) Peer { return t.peers[address] }
