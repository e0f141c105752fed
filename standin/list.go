package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// A List is a fake of the platform's service-discovery list of all hosts and
// upstreams. The zero value is an empty list whose changes are visible at once.
type List struct {
	Faults
	// Lag is the delay until a change is visible to readers.
	Lag time.Duration
	// Expire is how long a host stays listed after its last announcement; 0
	// means without limit.
	Expire time.Duration

	mu    sync.Mutex
	hosts map[string]announced
	// forcedLeaving has the hosts to show as leaving, whatever they announce.
	forcedLeaving map[string]bool
	// versions has all versions of the list, oldest first.
	versions []version
}

// announced is a host's latest announcement and the time of its arrival.
type announced struct {
	host descriptor.Host
	at   time.Time
}

// version is the content of the list between the time from and the next version.
type version struct {
	members descriptor.Members
	from    time.Time
}

// Handler returns the list's HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, l.Members(time.Now()))
	})
	mux.HandleFunc("PUT /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		var h descriptor.Host
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
			http.Error(w, "host is not valid", http.StatusBadRequest)
			return
		}
		l.Announce(h, time.Now())
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /upstreams/{id}", func(w http.ResponseWriter, r *http.Request) {
		var u descriptor.Upstream
		if err := json.NewDecoder(r.Body).Decode(&u); err != nil {
			http.Error(w, "upstream is not valid", http.StatusBadRequest)
			return
		}
		l.SetUpstream(u, time.Now())
		w.WriteHeader(http.StatusNoContent)
	})
	return l.wrap(mux)
}

// Announce adds a host, or replaces its entry, and renews its expiry.
func (l *List) Announce(h descriptor.Host, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = make(map[string]announced)
	}
	previous, known := l.hosts[h.ID]
	l.hosts[h.ID] = announced{host: h, at: now}
	if !known || previous.host != h {
		l.appendVersion(now)
	}
}

// ForceLeaving sets whether a host is shown as leaving regardless of what it
// announces.
func (l *List) ForceLeaving(host string, leaving bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.forcedLeaving == nil {
		l.forcedLeaving = make(map[string]bool)
	}
	l.forcedLeaving[host] = leaving
	l.appendVersion(now)
}

// SetUpstream adds an upstream, or replaces its entry.
func (l *List) SetUpstream(u descriptor.Upstream, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.newest()
	m.Upstreams = slices.DeleteFunc(slices.Clone(m.Upstreams), func(o descriptor.Upstream) bool { return o.ID == u.ID })
	m.Upstreams = append(m.Upstreams, u)
	slices.SortFunc(m.Upstreams, func(a, b descriptor.Upstream) int { return strings.Compare(a.ID, b.ID) })
	l.versions = append(l.versions, version{members: m, from: now})
}

// Members returns the list that readers see at the time now: the newest version
// that is at least Lag old. It first removes the hosts that have expired.
func (l *List) Members(now time.Time) descriptor.Members {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var shown descriptor.Members
	for _, v := range l.versions {
		if !v.from.Add(l.Lag).After(now) {
			shown = v.members
		}
	}
	return shown
}

func (l *List) newest() descriptor.Members {
	if len(l.versions) == 0 {
		return descriptor.Members{}
	}
	return l.versions[len(l.versions)-1].members
}

func (l *List) expire(now time.Time) {
	if l.Expire == 0 {
		return
	}
	before := len(l.hosts)
	for id, a := range l.hosts {
		if now.Sub(a.at) > l.Expire {
			delete(l.hosts, id)
		}
	}
	if len(l.hosts) != before {
		l.appendVersion(now)
	}
}

// appendVersion adds a version with the current hosts and the upstreams of the
// newest version. The caller must hold l.mu.
func (l *List) appendVersion(now time.Time) {
	m := l.newest()
	m.Hosts = nil
	for _, a := range l.hosts {
		m.Hosts = append(m.Hosts, a.host.WithLeaving(a.host.Leaving || l.forcedLeaving[a.host.ID]))
	}
	slices.SortFunc(m.Hosts, func(a, b descriptor.Host) int { return strings.Compare(a.ID, b.ID) })
	l.versions = append(l.versions, version{members: m, from: now})
}
