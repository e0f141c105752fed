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
	// hashes has the hash of each host's id, in the order of members.
	hashes []uint64
	// serving has the upstreams of each model, and services those of each
	// plain service, leaving ones left out.
	serving  map[string][]descriptor.Upstream
	services map[string][]descriptor.Upstream
	// suspects holds the hosts that failed a call, until the given time.
	suspects map[string]time.Time
}

// WithMembers returns a view of a newer list. Suspicions are kept.
func (v View) WithMembers(m descriptor.Members) View {
	v.members = m
	v.hashes = make([]uint64, len(m.Hosts))
	for i, h := range m.Hosts {
		v.hashes[i] = xxhash.Sum64String(h.ID)
	}
	v.serving = make(map[string][]descriptor.Upstream)
	v.services = make(map[string][]descriptor.Upstream)
	for _, u := range m.Upstreams {
		v.index(u)
	}
	return v
}

// WithHost returns a view in which a listed host stands as given.
func (v View) WithHost(h descriptor.Host) View {
	m := v.members
	m.Hosts = slices.Clone(m.Hosts)
	for i := range m.Hosts {
		if m.Hosts[i].ID == h.ID {
			m.Hosts[i] = h
		}
	}
	v.members = m
	return v
}

func (v View) index(u descriptor.Upstream) {
	if u.Leaving {
		return
	}
	if u.Service != "" {
		v.services[u.Service] = append(v.services[u.Service], u)
		return
	}
	for _, model := range u.Models {
		v.serving[model] = append(v.serving[model], u)
	}
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

// Serving returns the upstreams that take calls of a model.
func (v View) Serving(model string) []descriptor.Upstream { return v.serving[model] }

// Service returns the upstreams that take calls of a plain service.
func (v View) Service(name string) []descriptor.Upstream { return v.services[name] }

// Live returns the hosts that take new work, suspects left out. Where every
// host is suspected, suspicion is no guide and all are returned.
func (v View) Live(now time.Time) []descriptor.Host {
	var live, suspected []descriptor.Host
	for _, h := range v.members.Hosts {
		switch {
		case h.Leaving:
		case v.Suspected(h.ID, now):
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

// Suspected reports whether a host failed a call of late.
func (v View) Suspected(host string, now time.Time) bool {
	until, ok := v.suspects[host]
	return ok && now.Before(until)
}

// Home returns the home of a key.
func (v View) Home(key string, now time.Time) (descriptor.Host, bool) {
	return v.top(key, now, func(*descriptor.Host) bool { return true })
}

// UpstreamHome returns the home of an upstream. Hosts in the upstream's own
// data centre go first.
func (v View) UpstreamHome(u descriptor.Upstream, now time.Time) (descriptor.Host, bool) {
	key := "upstream/" + u.ID
	near := func(h *descriptor.Host) bool { return h.DataCentre == u.DataCentre }
	if h, ok := v.top(key, now, near); ok && !v.Suspected(h.ID, now) {
		return h, true
	}
	return v.Home(key, now)
}

// Ranked returns the live hosts in the order in which they become home of a
// key, the home itself first.
func (v View) Ranked(key string, now time.Time) []descriptor.Host {
	live := v.Live(now)
	sum := xxhash.Sum64String(key)
	slices.SortFunc(live, func(a, b descriptor.Host) int {
		x, y := weight(sum, xxhash.Sum64String(a.ID)), weight(sum, xxhash.Sum64String(b.ID))
		if c := cmp.Compare(y, x); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return live
}

// top returns the matching host with the highest weight for a key. Suspects
// are taken only where there is no other.
func (v View) top(key string, now time.Time, match func(*descriptor.Host) bool) (descriptor.Host, bool) {
	sum := xxhash.Sum64String(key)
	best, bestSuspect := -1, -1
	for i := range v.members.Hosts {
		h := &v.members.Hosts[i]
		if h.Leaving || !match(h) {
			continue
		}
		place := &best
		if len(v.suspects) > 0 && v.Suspected(h.ID, now) {
			place = &bestSuspect
		}
		if *place < 0 || v.before(sum, i, *place) {
			*place = i
		}
	}
	if best < 0 {
		best = bestSuspect
	}
	if best < 0 {
		return descriptor.Host{}, false
	}
	return v.members.Hosts[best], true
}

// before reports whether host i goes before host j for a key.
func (v View) before(sum uint64, i, j int) bool {
	x, y := weight(sum, v.hashes[i]), weight(sum, v.hashes[j])
	if x != y {
		return x > y
	}
	return v.members.Hosts[i].ID < v.members.Hosts[j].ID
}

// weight is the rendezvous weight of a host for a key (highest random weight,
// Thaler and Ravishankar 1998). The mixing is that of SplitMix64 (Steele, Lea
// and Flood 2014).
func weight(key, host uint64) uint64 {
	x := key ^ host
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Route returns the short form of a key by which its home is found. Call ids
// carry it, so that any host finds the home of a call.
func Route(key string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(key))
}
