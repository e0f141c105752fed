package citronpier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/locator"
)

const (
	// listReadInterval is the time between two reads of the service-discovery list.
	listReadInterval = 250 * time.Millisecond
	// listTimeout bounds one read of the list and one announcement to it.
	listTimeout = time.Second
	// listMaxAge is the maximum age of the list at which work is sent to
	// upstreams without reading the list again.
	listMaxAge = time.Second
	// loadsInterval is the time between two reads of the other hosts' loads.
	loadsInterval = 200 * time.Millisecond
	// settleTime is the time without a change of the live hosts after which all
	// hosts agree on the home of each upstream.
	settleTime = 3 * time.Second
	// suspicionTime is how long other hosts are preferred as homes over a host
	// that failed a request.
	suspicionTime = 2 * time.Second
)

// memberTable holds this host's view of the hosts and upstreams of the
// service-discovery list. The zero value is empty.
type memberTable struct {
	mu      sync.Mutex
	current locator.View
	// readAt is when the last successful read of the list began.
	readAt time.Time
	// changedAt is when the set of live hosts last changed, except by a suspicion
	// that expired.
	changedAt time.Time
	// leavingListedAt is when the list first showed this host as leaving; zero
	// before that.
	leavingListedAt time.Time
	// leavingID is the ID of this host once it is stopping; empty before that.
	leavingID string
}

func (t *memberTable) view() locator.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// update replaces the view with a newer list, whose read began at asked. The
// entry of this host is taken from self; if the list has no entry for this host,
// it is added.
func (t *memberTable) update(m descriptor.Members, self descriptor.Host, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = asked
	before := t.current.Live(asked)
	m.Hosts = slices.Clone(m.Hosts)
	at := slices.IndexFunc(m.Hosts, func(h descriptor.Host) bool { return h.ID == self.ID })
	own := self.WithLeaving(t.leavingID == self.ID)
	if at >= 0 && m.Hosts[at].Leaving && t.leavingListedAt.IsZero() {
		t.leavingListedAt = asked
	}
	if at < 0 {
		m.Hosts = append(m.Hosts, own)
	} else {
		m.Hosts[at] = own
	}
	t.current = t.current.WithMembers(m)
	if !slices.Equal(before, t.current.Live(asked)) {
		t.changedAt = asked
	}
}

// clearSuspicion ends the suspicion of a host, so that the host can become home
// again like any other host.
func (t *memberTable) clearSuspicion(host string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.current.Live(now)
	t.current = t.current.WithoutSuspect(host)
	if !slices.Equal(before, t.current.Live(now)) {
		t.changedAt = now
	}
}

// leavingKnown reports whether all other hosts have had time to read from the
// list that this host is leaving.
func (t *memberTable) leavingKnown(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.leavingListedAt.IsZero() && now.Sub(t.leavingListedAt) > 2*listReadInterval
}

// settled reports whether settleTime has passed since the set of live hosts last
// changed. The end of a suspicion is such a change too.
func (t *memberTable) settled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.changedAt) <= settleTime {
		return false
	}
	// The two sets differ if a suspicion expired between these times.
	return slices.Equal(t.current.Live(now.Add(-settleTime)), t.current.Live(now))
}

func (t *memberTable) lastRead() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAt
}

// markLeaving marks this host as leaving in the present view and in later views.
func (t *memberTable) markLeaving(self string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingID = self
	m := t.current.Members()
	m.Hosts = slices.Clone(m.Hosts)
	for i, h := range m.Hosts {
		if h.ID == self {
			m.Hosts[i] = h.WithLeaving(true)
		}
	}
	t.current = t.current.WithMembers(m)
}

// suspect marks a host as suspected until a given time. The time must be
// suspicionTime from now, because suspect computes the present time from it.
func (t *memberTable) suspect(host string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := until.Add(-suspicionTime)
	before := t.current.Live(now)
	t.current = t.current.WithSuspect(host, until)
	if !slices.Equal(before, t.current.Live(now)) {
		t.changedAt = now
	}
}

// suspect marks a host that failed a request. For suspicionTime the host becomes
// home only if there is no other host. A host never suspects itself.
func (h *Host) suspect(failed descriptor.Host) {
	if failed.ID == h.settings.self.ID {
		return
	}
	h.members.suspect(failed.ID, h.settings.clock().Add(suspicionTime))
}

// settled reports whether settleTime has passed since the set of live hosts last
// changed.
func (h *Host) settled() bool { return h.members.settled(h.settings.clock()) }

// isUpstreamHome reports whether this host is now the home of an upstream.
func (h *Host) isUpstreamHome(u descriptor.Upstream) bool {
	home, ok := h.members.view().UpstreamHome(u, h.settings.clock())
	return ok && h.isSelf(home)
}

// followMembers reads the service-discovery list and announces this host to it,
// every listReadInterval.
func (h *Host) followMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		h.readMembers(ctx)
		h.announce(ctx)
		waiter.Sleep(ctx, listReadInterval)
	}
	return nil
}

// readMembers updates the view from the list. If the list does not answer, the
// view stays unchanged.
func (h *Host) readMembers(ctx context.Context) {
	asked := h.settings.clock()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	m, err := h.settings.list.Members(ctx)
	if err != nil {
		h.settings.logger.Debug().Err(err).Msg("service-discovery list was not read")
		return
	}
	h.members.update(m, h.settings.self, asked)
	h.dispatcher.Update(m)
}

// refreshMembers reads the list again if the last read is older than listMaxAge.
// The dispatcher calls refreshMembers before it sends work: a host whose process
// was paused would otherwise send to upstreams that have left. While the list
// does not answer, the old view stays in use.
func (h *Host) refreshMembers(ctx context.Context) {
	if h.settings.clock().Sub(h.members.lastRead()) > listMaxAge {
		h.readMembers(ctx)
	}
}

// announce tells the service-discovery list that this host is live or leaving.
func (h *Host) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := h.settings.list.Announce(ctx, h.settings.self.WithLeaving(h.leaving.Load())); err != nil {
		h.settings.logger.Debug().Err(err).Msg("host was not announced to the service-discovery list")
	}
}

// listedPeers returns the other hosts that the list shows as live, including the
// hosts that this host suspects.
func (h *Host) listedPeers() []descriptor.Host {
	return slices.DeleteFunc(slices.Clone(h.members.view().Members().Hosts), func(o descriptor.Host) bool {
		return o.Leaving || o.ID == h.settings.self.ID
	})
}

// livePeers returns the other hosts that the list shows as live and that this
// host does not suspect.
func (h *Host) livePeers() []descriptor.Host {
	live := h.members.view().Live(h.settings.clock())
	return slices.DeleteFunc(live, func(o descriptor.Host) bool { return o.ID == h.settings.self.ID })
}
