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
	// listEvery is the time between two reads of the platform's list.
	listEvery = 250 * time.Millisecond
	// listBudget bounds one read.
	listBudget = time.Second
	// listFresh is the age up to which the list is used without a new read.
	listFresh = time.Second
	// loadEvery is the time between two reads of the other hosts' loads.
	loadEvery = 200 * time.Millisecond
	// settledAfter is the time without a change of the live hosts after which
	// each upstream has one home.
	settledAfter = 3 * time.Second
	// suspicion is how long a host that failed a call is avoided.
	suspicion = 2 * time.Second
)

// memberTable holds the present view of the members. The zero value is empty.
type memberTable struct {
	mu      sync.Mutex
	current locator.View
	// read is when the list was last asked for and answered.
	read time.Time
	// changed is when the live hosts last changed.
	changed time.Time
	// shown is when the list first showed the host itself as leaving.
	shown time.Time
	// left names the host itself once it is stopping.
	left string
}

func (t *memberTable) view() locator.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// update applies a newer list, in which the host itself always stands.
func (t *memberTable) update(m descriptor.Members, self descriptor.Host, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.read = asked
	before := t.current.Live(asked)
	m.Hosts = slices.Clone(m.Hosts)
	at := slices.IndexFunc(m.Hosts, func(h descriptor.Host) bool { return h.ID == self.ID })
	own := self.WithLeaving(t.left == self.ID)
	if at >= 0 && m.Hosts[at].Leaving && t.shown.IsZero() {
		t.shown = asked
	}
	if at < 0 {
		m.Hosts = append(m.Hosts, own)
	} else {
		m.Hosts[at] = own
	}
	t.current = t.current.WithMembers(m)
	if !slices.Equal(before, t.current.Live(asked)) {
		t.changed = asked
	}
}

// trust ends the suspicion of a host that answers.
func (t *memberTable) trust(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = t.current.WithoutSuspect(host)
}

// unnamed reports whether all hosts have had time to read that the host itself
// is leaving.
func (t *memberTable) unnamed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.shown.IsZero() && now.Sub(t.shown) > 2*listEvery
}

// settled reports whether the live hosts have been the same for a while.
func (t *memberTable) settled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.changed) > settledAfter
}

func (t *memberTable) lastRead() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.read
}

func (t *memberTable) leave(self string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = self
	m := t.current.Members()
	m.Hosts = slices.Clone(m.Hosts)
	for i, h := range m.Hosts {
		if h.ID == self {
			m.Hosts[i] = h.WithLeaving(true)
		}
	}
	t.current = t.current.WithMembers(m)
}

func (t *memberTable) suspect(host string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := until.Add(-suspicion)
	before := t.current.Live(now)
	t.current = t.current.WithSuspect(host, until)
	if !slices.Equal(before, t.current.Live(now)) {
		t.changed = now
	}
}

// suspect avoids a host that failed a call. The host itself is never suspect.
func (h *Host) suspect(failed descriptor.Host) {
	if failed.ID == h.settings.self.ID {
		return
	}
	h.members.suspect(failed.ID, h.settings.clock().Add(suspicion))
}

// settled reports whether no host has come or gone of late.
func (h *Host) settled() bool { return h.members.settled(h.settings.clock()) }

// followMembers keeps the view of the members up to date.
func (h *Host) followMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		h.readMembers(ctx)
		h.announce(ctx)
		waiter.Sleep(ctx, listEvery)
	}
	return nil
}

func (h *Host) readMembers(ctx context.Context) {
	asked := h.settings.clock()
	ctx, cancel := context.WithTimeout(ctx, listBudget)
	defer cancel()
	m, err := h.settings.list.Members(ctx)
	if err != nil {
		h.settings.logger.Debug().Err(err).Msg("list did not answer")
		return
	}
	h.members.update(m, h.settings.self, asked)
	h.dispatcher.Update(m)
}

// refreshMembers reads the list before work is sent by an old one. A host that
// stood still for a while would otherwise send to upstreams that have left.
// While the list is down the old one has to do.
func (h *Host) refreshMembers(ctx context.Context) {
	if h.settings.clock().Sub(h.members.lastRead()) > listFresh {
		h.readMembers(ctx)
	}
}

// announce tells the platform that the host is live or leaving.
func (h *Host) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listBudget)
	defer cancel()
	if err := h.settings.list.Announce(ctx, h.settings.self.WithLeaving(h.leaving.Load())); err != nil {
		h.settings.logger.Debug().Err(err).Msg("announce failed")
	}
}

// listed returns the other hosts that the list shows as live, those that are
// suspected here included.
func (h *Host) listed() []descriptor.Host {
	return slices.DeleteFunc(slices.Clone(h.members.view().Members().Hosts), func(o descriptor.Host) bool {
		return o.Leaving || o.ID == h.settings.self.ID
	})
}

// others returns the other live hosts.
func (h *Host) others() []descriptor.Host {
	live := h.members.view().Live(h.settings.clock())
	return slices.DeleteFunc(live, func(o descriptor.Host) bool { return o.ID == h.settings.self.ID })
}
