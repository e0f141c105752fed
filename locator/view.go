package locator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
)

// View is an immutable picture of the members of the system.
type View struct {
	members descriptor.Members
	// suspects holds the hosts that failed a call, until the given time.
	suspects map[string]time.Time
}

// WithMembers returns a view of a newer list. Suspicions are kept.
func (v View) WithMembers(m descriptor.Members) View {
	v.members = m
	return v
}

// WithSuspect returns a view that avoids a host until the given time.
func (v View) WithSuspect(host string, until time.Time) View {
	s := maps.Clone(v.suspects)
	if s == nil {
		s = make(map[string]time.Time)
	}
	s[host] = until
	v.suspects = s
	return v
}

// WithoutSuspect returns a view that trusts a host again.
func (v View) WithoutSuspect(host string) View {
	if _, ok := v.suspects[host]; !ok {
		return v
	}
	v.suspects = maps.Clone(v.suspects)
	delete(v.suspects, host)
	return v
}

// Members returns the list that the view was made from.
func (v View) Members() descriptor.Members { return v.members }

// Live returns the hosts that take new work, suspects left out. Where every
// host is suspected, suspicion is no guide and all are returned.
func (v View) Live(now time.Time) []descriptor.Host {
	var live, suspected []descriptor.Host
	for _, h := range v.members.Hosts {
		switch {
		case h.Leaving:
		case v.suspected(h.ID, now):
			suspected = append(suspected, h)
		default:
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return suspected
	}
	return live
}

func (v View) suspected(host string, now time.Time) bool {
	until, ok := v.suspects[host]
	return ok && now.Before(until)
}

// Home returns the home of a key.
func (v View) Home(key string, now time.Time) (descriptor.Host, bool) {
	return top(key, v.Live(now))
}

// Ranked returns the live hosts in the order in which they become home of a
// key, the home itself first.
func (v View) Ranked(key string, now time.Time) []descriptor.Host {
	return rank(key, v.Live(now))
}

// UpstreamHome returns the home of an upstream. Hosts in the upstream's own
// data centre go first.
func (v View) UpstreamHome(u descriptor.Upstream, now time.Time) (descriptor.Host, bool) {
	live := v.Live(now)
	near := make([]descriptor.Host, 0, len(live))
	for _, h := range live {
		if h.DataCentre == u.DataCentre {
			near = append(near, h)
		}
	}
	if len(near) > 0 {
		live = near
	}
	return top("upstream/"+u.ID, live)
}

// weight is the rendezvous weight of a host for a key (highest random weight,
// Thaler and Ravishankar 1998).
func weight(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}

func top(key string, hosts []descriptor.Host) (descriptor.Host, bool) {
	var best descriptor.Host
	var most uint64
	found := false
	for _, h := range hosts {
		w := weight(key, h.ID)
		if !found || w > most || (w == most && h.ID < best.ID) {
			best, most, found = h, w, true
		}
	}
	return best, found
}

func rank(key string, hosts []descriptor.Host) []descriptor.Host {
	weights := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		weights[h.ID] = weight(key, h.ID)
	}
	slices.SortFunc(hosts, func(a, b descriptor.Host) int {
		if c := cmp.Compare(weights[b.ID], weights[a.ID]); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return hosts
}

// Route returns the short form of a key by which its home is found. Call ids
// carry it, so that any host finds the home of a call.
func Route(key string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(key))
}
