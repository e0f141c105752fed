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
	// leavingSince is when this host saw that the upstream began to leave or was removed. It
	// is zero while the upstream is ready, and if the upstream had left before this host
	// saw it ready.
	leavingSince time.Time
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
// given offset of the log and that was read at now. The list stays the same if u is older
// than the known entry, according either to the offset or to the incarnation and heartbeat
// sequence in u.
func (l List) WithUpstream(u descriptor.Upstream, offset int64, now time.Time) List {
	old, known := l.entries[u.ID]
	if known && (offset <= old.offset || isOlder(u, old.upstream)) {
		return l
	}
	next := entry{upstream: u, offset: offset}
	if u.Leaving {
		next.leavingSince = old.leftAt(now)
	}
	return l.withEntry(u.ID, next)
}

// leftAt returns when the upstream began to leave, given that it is seen to leave at now.
func (e entry) leftAt(now time.Time) time.Time {
	wasReady := e.upstream.ID != "" && !e.upstream.Leaving && !e.removed
	if wasReady {
		return now
	}
	return e.leavingSince
}

// isOlder reports whether an upstream published a before b. Both describe the same
// upstream: Incarnation orders its incarnations, and HeartbeatSequence orders the
// records of one incarnation.
func isOlder(a, b descriptor.Upstream) bool {
	return a.Incarnation < b.Incarnation || (a.Incarnation == b.Incarnation && a.HeartbeatSequence < b.HeartbeatSequence)
}

// WithRemoved returns the list with an upstream marked as removed at the given offset
// of the log, which was read at now. The upstream stays usable until usableUntil. The list
// stays the same unless offset is newer than the offset of the known entry.
func (l List) WithRemoved(id string, offset int64, usableUntil, now time.Time) List {
	old, known := l.entries[id]
	if !known || offset <= old.offset || old.removed {
		return l
	}
	old.leavingSince = old.leftAt(now)
	old.offset, old.removed, old.usableUntil = offset, true, usableUntil
	return l.withEntry(id, old)
}

// WithMalformed returns the list with an upstream whose record at the given offset of the
// log can't be decoded. It is not used in any way until it publishes another record: nobody
// knows what it is now.
func (l List) WithMalformed(id string, offset int64) List {
	old, known := l.entries[id]
	if !known || offset <= old.offset {
		return l
	}
	old.offset, old.removed = offset, true
	old.usableUntil, old.leavingSince = time.Time{}, time.Time{}
	return l.withEntry(id, old)
}

// WithOnly returns the list with all upstreams that are not in present marked as
// removed at the given offset of the log, which was read at now. The marked upstreams stay
// usable until usableUntil.
func (l List) WithOnly(present map[string]bool, offset int64, usableUntil, now time.Time) List {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if !present[id] {
			l = l.WithRemoved(id, offset, usableUntil, now)
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
	return l.upstreams(func(e entry) bool { return e.upstream.Service == service && e.usable(now) })
}

// UsableOfBuild returns the upstreams that run a build and that may be sent new requests,
// sorted by id.
func (l List) UsableOfBuild(b descriptor.Build, now time.Time) []descriptor.Upstream {
	return l.upstreams(func(e entry) bool { return e.upstream.Build() == b && e.usable(now) })
}

// LeavingOfBuild returns the upstreams that run a build and that began to leave after the
// given time, sorted by id. They go on serving for a while.
func (l List) LeavingOfBuild(b descriptor.Build, after time.Time) []descriptor.Upstream {
	return l.upstreams(func(e entry) bool { return e.upstream.Build() == b && e.leavingSince.After(after) })
}

// upstreams returns the upstreams whose entries match, sorted by id.
func (l List) upstreams(matches func(e entry) bool) []descriptor.Upstream {
	var matching []descriptor.Upstream
	for _, e := range l.entries {
		if matches(e) {
			matching = append(matching, e.upstream)
		}
	}
	slices.SortFunc(matching, func(a, b descriptor.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return matching
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

// Current returns an upstream as it last published itself, and whether it is listed: known
// and not removed.
func (l List) Current(id string) (u descriptor.Upstream, listed bool) {
	e, ok := l.entries[id]
	return e.upstream, ok && !e.removed
}

// Listed reports whether the upstream with the given id is known and not removed;
// it may be leaving.
func (l List) Listed(id string) bool {
	e, ok := l.entries[id]
	return ok && !e.removed
}

// Len returns the number of upstreams in the list, including removed upstreams.
func (l List) Len() int { return len(l.entries) }
