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

// View is an immutable view of the hosts and upstreams of the system, as one host
// sees them. The zero value has no members.
type View struct {
	members descriptor.Members
	// hostHashes holds the hash of each host's id, in the order of members.Hosts.
	hostHashes []uint64
	// byModel holds the upstreams that serve each model. byService holds the
	// upstreams of each plain service, which is a service without a model. Upstreams
	// that are leaving are omitted.
	byModel   map[string][]descriptor.Upstream
	byService map[string][]descriptor.Upstream
	// suspects holds the hosts to which a call failed recently, by host id. The value is
	// the time until which the host is avoided.
	suspects map[string]time.Time
}

// WithMembers returns a view of the hosts and upstreams in m, with the suspects
// of v.
func (v View) WithMembers(m descriptor.Members) View {
	v.members = m
	v.hostHashes = make([]uint64, len(m.Hosts))
	for i, h := range m.Hosts {
		v.hostHashes[i] = xxhash.Sum64String(h.ID)
	}
	v.byModel = make(map[string][]descriptor.Upstream)
	v.byService = make(map[string][]descriptor.Upstream)
	for _, u := range m.Upstreams {
		v.indexUpstream(u)
	}
	return v
}

// WithHost returns a view in which the host with the id of h is replaced by h. If the
// view has no host with this id, the hosts stay the same.
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

// indexUpstream adds an upstream that is not leaving to byModel or byService.
func (v View) indexUpstream(u descriptor.Upstream) {
	if u.Leaving {
		return
	}
	if u.Service != "" {
		v.byService[u.Service] = append(v.byService[u.Service], u)
		return
	}
	for _, model := range u.Models {
		v.byModel[model] = append(v.byModel[model], u)
	}
}

// WithSuspect returns a view that avoids the host with the given id until the
// given time.
func (v View) WithSuspect(host string, until time.Time) View {
	suspects := maps.Clone(v.suspects)
	if suspects == nil {
		suspects = make(map[string]time.Time)
	}
	suspects[host] = until
	v.suspects = suspects
	return v
}

// WithoutSuspect returns a view that no longer avoids the host with the given id.
func (v View) WithoutSuspect(host string) View {
	if _, ok := v.suspects[host]; !ok {
		return v
	}
	v.suspects = maps.Clone(v.suspects)
	delete(v.suspects, host)
	return v
}

// Members returns the hosts and upstreams of the view. Callers must not modify
// the slices.
func (v View) Members() descriptor.Members { return v.members }

// UpstreamsOfModel returns the upstreams that serve a model and are not leaving. Callers
// must not modify the slice.
func (v View) UpstreamsOfModel(model string) []descriptor.Upstream { return v.byModel[model] }

// UpstreamsOfService returns the upstreams of a plain service (a service without a
// model) that are not leaving. Callers must not modify the slice.
func (v View) UpstreamsOfService(name string) []descriptor.Upstream { return v.byService[name] }

// Live returns the hosts that are neither leaving nor suspected. If all hosts
// that are not leaving are suspected, Live returns all of them, since there is no
// better choice.
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

// Suspected reports whether a host failed a call and is still to be avoided.
func (v View) Suspected(host string, now time.Time) bool {
	until, ok := v.suspects[host]
	return ok && now.Before(until)
}

// Home returns the home of a key. It returns false if no host takes new work.
func (v View) Home(key string, now time.Time) (descriptor.Host, bool) {
	return v.highestWeight(key, now, func(*descriptor.Host) bool { return true })
}

// UpstreamHome returns the home of an upstream. Hosts in the upstream's data
// centre are preferred, unless all of them are leaving or suspected. It returns
// false if no host takes new work.
func (v View) UpstreamHome(u descriptor.Upstream, now time.Time) (descriptor.Host, bool) {
	key := "upstream/" + u.ID
	inDataCentre := func(h *descriptor.Host) bool { return h.DataCentre == u.DataCentre }
	if h, ok := v.highestWeight(key, now, inDataCentre); ok && !v.Suspected(h.ID, now) {
		return h, true
	}
	return v.Home(key, now)
}

// Ranked returns the live hosts in the order of their rendezvous weight for a key:
// the home first, then the host that becomes home if the first fails, and so on.
func (v View) Ranked(key string, now time.Time) []descriptor.Host {
	live := v.Live(now)
	keyHash := xxhash.Sum64String(key)
	slices.SortFunc(live, func(a, b descriptor.Host) int {
		x, y := weight(keyHash, xxhash.Sum64String(a.ID)), weight(keyHash, xxhash.Sum64String(b.ID))
		if c := cmp.Compare(y, x); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return live
}

// highestWeight returns the host with the highest rendezvous weight for a key among
// the hosts that are not leaving and for which match is true. It returns a suspected
// host only if all these hosts are suspected. It returns false if there are no such
// hosts.
func (v View) highestWeight(key string, now time.Time, match func(*descriptor.Host) bool) (descriptor.Host, bool) {
	keyHash := xxhash.Sum64String(key)
	best, bestSuspect := -1, -1
	for i := range v.members.Hosts {
		h := &v.members.Hosts[i]
		if h.Leaving || !match(h) {
			continue
		}
		candidate := &best
		if len(v.suspects) > 0 && v.Suspected(h.ID, now) {
			candidate = &bestSuspect
		}
		if *candidate < 0 || v.ranksBefore(keyHash, i, *candidate) {
			*candidate = i
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

// ranksBefore reports whether host i has a higher rendezvous weight than host j
// for a key, given by its hash. The ids of the hosts decide between equal
// weights.
func (v View) ranksBefore(keyHash uint64, i, j int) bool {
	x, y := weight(keyHash, v.hostHashes[i]), weight(keyHash, v.hostHashes[j])
	if x != y {
		return x > y
	}
	return v.members.Hosts[i].ID < v.members.Hosts[j].ID
}

// weight returns the rendezvous weight of a host for a key, given the hashes of
// both (highest random weight, Thaler and Ravishankar 1998). It mixes the bits
// with the finaliser of SplitMix64 (Steele, Lea and Flood 2014).
func weight(key, host uint64) uint64 {
	x := key ^ host
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// KeyHash returns the hash of a key as 16 hexadecimal digits. Homes are looked up
// by this short form: call ids contain it, so that any host can find the home of
// a call from the call's id alone.
func KeyHash(key string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(key))
}
