package citronpier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// hostsEvery is the time between reads of the hosts' own list: heartbeats
	// carry the news, the list finds those that share no one.
	hostsEvery = 5 * time.Second
	// hostsRetry is the time between tries while the store is away.
	hostsRetry = 300 * time.Millisecond
	// membersFresh is how long a picture of the hosts is used again.
	membersFresh = 50 * time.Millisecond
	// directoryKeep is how long callers may keep the directory's answer.
	directoryKeep = 2 * time.Second
)

// memberCache holds a picture of the hosts for a short time. The zero value is
// empty.
type memberCache struct {
	mu      sync.Mutex
	made    time.Time
	view    locator.View
	running map[uint64]int
}

func (c *memberCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made = time.Time{}
}

// refresh makes the picture anew where it is old.
func (c *memberCache) refresh(e *Entry, now time.Time) (locator.View, map[uint64]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.made) < membersFresh {
		return c.view, c.running
	}
	c.made = now
	c.running = make(map[uint64]int)
	var hosts []descriptor.Host
	if e.Ready() {
		hosts = append(hosts, e.config.Host)
	}
	for _, b := range e.gossiper.Table().Live(now) {
		for _, r := range b.GetRunning() {
			c.running[r.GetUpstream()] += int(r.GetRequests())
		}
		if b.GetReady() && !b.GetLeaving() {
			hosts = append(hosts, hostOf(b))
		}
	}
	c.view = locator.View{}.WithMembers(descriptor.Members{Hosts: hosts})
	return c.view, c.running
}

func hostOf(b *messenger.Beat) descriptor.Host {
	return descriptor.Host{
		ID: b.GetAddress(), Peer: b.GetAddress(), Caller: b.GetCaller(), DataCentre: b.GetDatacentre(),
	}
}

// view returns the hosts that take requests, this one included.
func (e *Entry) view() locator.View {
	v, _ := e.members.refresh(e, time.Now())
	return v
}

// othersRunning returns the requests of other hosts under way, by upstream hash.
func (e *Entry) othersRunning() map[uint64]int {
	_, running := e.members.refresh(e, time.Now())
	return running
}

// live reports whether another host is heard of.
func (e *Entry) live(host string, now time.Time) bool {
	return e.gossiper.Table().Peer(host).Live(now)
}

// beat returns the host's own heartbeat.
func (e *Entry) beat() *messenger.Beat {
	b := &messenger.Beat{
		Address:     e.config.Host.Peer,
		Incarnation: e.incarnation,
		Datacentre:  e.config.Host.DataCentre,
		Caller:      e.config.Host.Caller,
		Ready:       e.Ready(),
		Leaving:     e.leaving.Load(),
		Config:      e.watcher.Configuration().Version,
		Stored:      e.relayer.Reaches(time.Now()),
	}
	for hash, n := range e.board.Running() {
		b.Running = append(b.Running, &messenger.Running{Upstream: hash, Requests: int32(n)})
	}
	return b
}

// peersChanged follows what heartbeats say.
func (e *Entry) peersChanged() {
	e.members.invalidate()
	own := e.watcher.Configuration().Version
	for _, b := range e.gossiper.Table().Live(time.Now()) {
		if b.GetConfig() > own {
			e.watcher.Nudge()
			return
		}
	}
}

// Addresses returns the callers' addresses of hosts that take requests: those
// in the caller's data centre while there are any, else all.
func (e *Entry) Addresses(dataCentre string, now time.Time) ([]string, time.Duration) {
	var near, all []string
	for _, h := range e.view().Live(now) {
		all = append(all, h.Caller)
		if h.DataCentre == dataCentre {
			near = append(near, h.Caller)
		}
	}
	if len(near) > 0 {
		all = near
	}
	slices.Sort(all)
	return all, directoryKeep
}

// followHosts writes this host into the hosts' list and reads the others.
func (e *Entry) followHosts(ctx context.Context) error {
	now := time.Now()
	for _, seed := range e.config.Seeds {
		e.gossiper.Name(seed, now)
	}
	e.retry(ctx, e.enlist)
	for ctx.Err() == nil {
		e.retry(ctx, e.readHosts)
		waiter.Sleep(ctx, hostsEvery)
	}
	return nil
}

// retry repeats a call of the store until it succeeds or ctx ends.
func (e *Entry) retry(ctx context.Context, call func(context.Context) error) {
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			return
		}
		e.config.Logger.Debug().Err(err).Msg("hosts' list is not reached")
		waiter.Sleep(ctx, hostsRetry)
	}
}

// enlist writes this host into the hosts' list.
func (e *Entry) enlist(ctx context.Context) error {
	record := e.config.Codec.Join(e.config.Host.Peer, []byte(e.config.Host.DataCentre))
	_, err := e.relayer.Append(ctx, e.config.Hosts, [][]byte{record}, connector.AnyEnd)
	return err
}

// withdraw takes this host off the hosts' list.
func (e *Entry) withdraw(ctx context.Context) {
	record := e.config.Codec.Join(e.config.Host.Peer, nil)
	if _, err := e.relayer.Append(ctx, e.config.Hosts, [][]byte{record}, connector.AnyEnd); err != nil {
		e.config.Logger.Info().Err(err).Msg("host stays on the hosts' list")
	}
}

// readHosts names the listed hosts to the gossiper.
func (e *Entry) readHosts(ctx context.Context) error {
	newest, err := e.relayer.Newest(ctx, e.config.Hosts)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, item := range newest.Items {
		if item.Key != e.config.Host.Peer {
			e.gossiper.Name(item.Key, now)
		}
	}
	return nil
}
