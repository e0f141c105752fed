package watcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// List is an immutable list of upstreams.
type List struct {
	entries map[string]entry
}

// entry is the newest word on one upstream.
type entry struct {
	upstream descriptor.Upstream
	// offset is where the word stands in the log.
	offset int64
	// gone says that the word was a removal.
	gone bool
	// until keeps a removed upstream in use: it may have lapsed while the store
	// was away and come back.
	until time.Time
}

// usable reports whether the upstream may be given work.
func (e entry) usable(now time.Time) bool {
	if e.gone && !now.Before(e.until) {
		return false
	}
	return e.upstream.ID != "" && !e.upstream.Leaving
}

// WithUpstream returns the list with what an upstream says of itself. A word
// that is older, in the log or of the upstream itself, changes nothing.
func (l List) WithUpstream(u descriptor.Upstream, offset int64) List {
	old, known := l.entries[u.ID]
	if known && (offset <= old.offset || older(u, old.upstream)) {
		return l
	}
	return l.with(u.ID, entry{upstream: u, offset: offset})
}

// older reports whether a was said before b.
func older(a, b descriptor.Upstream) bool {
	return a.Born < b.Born || (a.Born == b.Born && a.Beat < b.Beat)
}

// WithRemoved returns the list without an upstream, which stays in use until
// the given time.
func (l List) WithRemoved(id string, offset int64, until time.Time) List {
	old, known := l.entries[id]
	if !known || offset <= old.offset || old.gone {
		return l
	}
	old.offset, old.gone, old.until = offset, true, until
	return l.with(id, old)
}

// WithOnly returns the list without the upstreams that are not named, as of an
// offset. They stay in use until the given time.
func (l List) WithOnly(named map[string]bool, offset int64, until time.Time) List {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if !named[id] {
			l = l.WithRemoved(id, offset, until)
		}
	}
	return l
}

func (l List) with(id string, e entry) List {
	entries := maps.Clone(l.entries)
	if entries == nil {
		entries = make(map[string]entry)
	}
	entries[id] = e
	return List{entries: entries}
}

// Usable returns the upstreams of a service that may be given work, by id.
func (l List) Usable(service string, now time.Time) []descriptor.Upstream {
	var usable []descriptor.Upstream
	for _, e := range l.entries {
		if e.upstream.Service == service && e.usable(now) {
			usable = append(usable, e.upstream)
		}
	}
	slices.SortFunc(usable, func(a, b descriptor.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

// All returns the upstreams that are named, leaving ones with them.
func (l List) All() []descriptor.Upstream {
	var all []descriptor.Upstream
	for _, e := range l.entries {
		if !e.gone {
			all = append(all, e.upstream)
		}
	}
	return all
}

// Has reports whether an upstream may be given work.
func (l List) Has(id string, now time.Time) bool { return l.entries[id].usable(now) }

// Listed reports whether an upstream is named at all.
func (l List) Listed(id string) bool {
	e, ok := l.entries[id]
	return ok && !e.gone
}

// Len returns the number of upstreams that the list has known.
func (l List) Len() int { return len(l.entries) }
