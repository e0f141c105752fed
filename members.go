package citronpier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/locator"
)

const (
	// listEvery is the time between two reads of the platform's list.
	listEvery = 250 * time.Millisecond
	// listBudget bounds one read.
	listBudget = time.Second
	// loadEvery is the time between two reads of the other hosts' loads.
	loadEvery = 200 * time.Millisecond
	// suspicion is how long a host that failed a call is avoided.
	suspicion = 2 * time.Second
)

// memberTable holds the present view of the members. The zero value is empty.
type memberTable struct {
	mu      sync.Mutex
	current locator.View
	// left names the host itself once it is stopping.
	left string
}

func (t *memberTable) view() locator.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// update applies a newer list, in which the host itself always stands.
func (t *memberTable) update(m descriptor.Members, self descriptor.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.Hosts = slices.Clone(m.Hosts)
	at := slices.IndexFunc(m.Hosts, func(h descriptor.Host) bool { return h.ID == self.ID })
	own := self.WithLeaving(t.left == self.ID)
	if at < 0 {
		m.Hosts = append(m.Hosts, own)
	} else {
		m.Hosts[at] = own
	}
	t.current = t.current.WithMembers(m)
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
	t.current = t.current.WithSuspect(host, until)
}

// suspect avoids a host that failed a call. The host itself is never suspect.
func (h *Host) suspect(failed descriptor.Host) {
	if failed.ID == h.settings.self.ID {
		return
	}
	h.members.suspect(failed.ID, h.settings.clock().Add(suspicion))
}

// followMembers keeps the view of the members up to date.
func (h *Host) followMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		h.readMembers(ctx)
		h.announce(ctx)
		pause(ctx, listEvery)
	}
	return nil
}

func (h *Host) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listBudget)
	defer cancel()
	m, err := h.settings.list.Members(ctx)
	if err != nil {
		h.settings.logger.Debug().Err(err).Msg("list did not answer")
		return
	}
	h.members.update(m, h.settings.self)
	h.dispatcher.Update(m)
}

// announce tells the platform that the host is live or leaving.
func (h *Host) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listBudget)
	defer cancel()
	if err := h.settings.list.Announce(ctx, h.settings.self.WithLeaving(h.leaving.Load())); err != nil {
		h.settings.logger.Debug().Err(err).Msg("announce failed")
	}
}

// others returns the other live hosts.
func (h *Host) others() []descriptor.Host {
	live := h.members.view().Live(h.settings.clock())
	return slices.DeleteFunc(live, func(o descriptor.Host) bool { return o.ID == h.settings.self.ID })
}
