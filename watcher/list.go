package watcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// List is an immutable copy of the service-discovery list of upstreams. The zero
// value is empty.
type List struct {
	// entries holds the entry of each upstream by its id, including removed
	// upstreams.
	entries map[string]entry
}

// entry is the newest known state of one upstream: the upstream as it last published
// itself, and whether it was removed since.
type entry struct {
	upstream descriptor.Upstream
	// offset is the log offset of the upstream's newest record, or the log offset at
	// which the upstream was marked as removed.
	offset int64
	// removed is true if the newest record was a removal, or if WithOnly marked the
	// upstream as removed.
	removed bool
	// usableUntil is the time until which a removed upstream may still be used. Its
	// record may have expired only because the upstream could not renew it while
	// the store was unavailable.
	usableUntil time.Time
}

// usable reports whether the upstream may be sent new requests.
func (e entry) usable(now time.Time) bool {
	if e.removed && !now.Before(e.usableUntil) {
		return false
	}
	return e.upstream.ID != "" && !e.upstream.Leaving
}

// WithUpstream returns the list with the record u that an upstream published at the
// given offset of the log. The list stays the same if u is older than the known
// entry, according either to the offset or to the incarnation and heartbeat sequence
// in u.
func (l List) WithUpstream(u descriptor.Upstream, offset int64) List {
	old, known := l.entries[u.ID]
	if known && (offset <= old.offset || isOlder(u, old.upstream)) {
		return l
	}
	return l.withEntry(u.ID, entry{upstream: u, offset: offset})
}

// isOlder reports whether an upstream published a before b. Both describe the same
// upstream: Incarnation orders its incarnations, and HeartbeatSequence orders the
// records of one incarnation.
func isOlder(a, b descriptor.Upstream) bool {
	return a.Incarnation < b.Incarnation || (a.Incarnation == b.Incarnation && a.HeartbeatSequence < b.HeartbeatSequence)
}

// WithRemoved returns the list with an upstream marked as removed at the given offset
// of the log. The upstream stays usable until usableUntil. The list stays the same
// unless offset is newer than the offset of the known entry.
func (l List) WithRemoved(id string, offset int64, usableUntil time.Time) List {
	old, known := l.entries[id]
	if !known || offset <= old.offset || old.removed {
		return l
	}
	old.offset, old.removed, old.usableUntil = offset, true, usableUntil
	return l.withEntry(id, old)
}

// WithOnly returns the list with all upstreams that are not in present marked as
// removed at the given offset of the log. The marked upstreams stay usable until
// usableUntil.
func (l List) WithOnly(present map[string]bool, offset int64, usableUntil time.Time) List {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if !present[id] {
			l = l.WithRemoved(id, offset, usableUntil)
		}
	}
	return l
}

// withEntry returns a copy of the list with the entry of an upstream replaced.
func (l List) withEntry(id string, e entry) List {
	entries := maps.Clone(l.entries)
	if entries == nil {
		entries = make(map[string]entry)
	}
	entries[id] = e
	return List{entries: entries}
}

// Usable returns the upstreams of a service that may be sent new requests, sorted
// by id.
func (l List) Usable(service string, now time.Time) []descriptor.Upstream {
	return l.usableWhere(now, func(u descriptor.Upstream) bool { return u.Service == service })
}

// UsableOfBuild returns the upstreams that run a build and that may be sent new requests,
// sorted by id.
func (l List) UsableOfBuild(b descriptor.Build, now time.Time) []descriptor.Upstream {
	return l.usableWhere(now, func(u descriptor.Upstream) bool { return u.Build() == b })
}

// usableWhere returns the upstreams that match and that may be sent new requests, sorted
// by id.
func (l List) usableWhere(now time.Time, matches func(u descriptor.Upstream) bool) []descriptor.Upstream {
	var usable []descriptor.Upstream
	for _, e := range l.entries {
		if matches(e.upstream) && e.usable(now) {
			usable = append(usable, e.upstream)
		}
	}
	slices.SortFunc(usable, func(a, b descriptor.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

// All returns the upstreams that are not removed, including leaving upstreams, in no
// particular order.
func (l List) All() []descriptor.Upstream {
	var all []descriptor.Upstream
	for _, e := range l.entries {
		if !e.removed {
			all = append(all, e.upstream)
		}
	}
	return all
}

// IsUsable reports whether the upstream with the given id may be sent new requests.
func (l List) IsUsable(id string, now time.Time) bool { return l.entries[id].usable(now) }

// Listed reports whether the upstream with the given id is known and not removed;
// it may be leaving.
func (l List) Listed(id string) bool {
	e, ok := l.entries[id]
	return ok && !e.removed
}

// Len returns the number of upstreams in the list, including removed upstreams.
func (l List) Len() int { return len(l.entries) }
