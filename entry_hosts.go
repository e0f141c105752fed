package citronpier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
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
	// acquaintTime is how long a host that has read the hosts' list waits for
	// their heartbeats: two of them.
	acquaintTime = 300 * time.Millisecond
	// acquaintLongest is how long it waits where the list can't be read.
	acquaintLongest = 1500 * time.Millisecond
	// membersFresh is how long a picture of the hosts is used again.
	membersFresh = 50 * time.Millisecond
	// directoryKeep is how long callers may keep the directory's answer.
	directoryKeep = 2 * time.Second
	// percent is what heartbeats tell shares in.
	percent = 100
)

// memberCache holds a picture of the hosts for a short time. The zero value is
// empty.
type memberCache struct {
	mu   sync.Mutex
	made time.Time
	// homes has the hosts that may be home of shards, callers those that take
	// requests of callers.
	homes   locator.View
	callers locator.View
	// loads has what other hosts say of upstreams, by upstream hash.
	loads map[uint64]forwarder.Load
}

func (c *memberCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made = time.Time{}
}

// refresh makes the picture anew where it is old.
func (c *memberCache) refresh(e *Entry, now time.Time) {
	if now.Sub(c.made) < membersFresh {
		return
	}
	c.made = now
	c.loads = make(map[uint64]forwarder.Load)
	var homes, callers []descriptor.Host
	if !e.leaving.Load() {
		homes = append(homes, e.config.Host)
	}
	if e.Ready() {
		callers = append(callers, e.config.Host)
	}
	for _, b := range e.gossiper.Table().Live(now) {
		for _, r := range b.GetRunning() {
			c.loads[r.GetUpstream()] = c.loads[r.GetUpstream()].WithHost(int(r.GetRequests()), float64(r.GetFailing())/percent, float64(r.GetSlow())/percent)
		}
		if b.GetLeaving() {
			continue
		}
		homes = append(homes, hostOf(b))
		if b.GetReady() {
			callers = append(callers, hostOf(b))
		}
	}
	if len(homes) == 0 {
		// The last host finishes what it has.
		homes = append(homes, e.config.Host)
	}
	if !e.acquainted.Load() {
		// A host that knows no other would take itself for home of every shard.
		homes = nil
	}
	c.homes = locator.View{}.WithMembers(descriptor.Members{Hosts: homes})
	c.callers = locator.View{}.WithMembers(descriptor.Members{Hosts: callers})
}

func hostOf(b *messenger.Beat) descriptor.Host {
	return descriptor.Host{
		ID: b.GetAddress(), Peer: b.GetAddress(), Caller: b.GetCaller(), DataCentre: b.GetDatacentre(),
	}
}

// homes returns the hosts that may be home of shards, this one included. It is
// empty before the others are known.
func (e *Entry) homes(now time.Time) locator.View {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.refresh(e, now)
	return e.members.homes
}

// callers returns the hosts that take requests of callers.
func (e *Entry) callers(now time.Time) locator.View {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.refresh(e, now)
	return e.members.callers
}

// othersLoads returns what other hosts say of upstreams, by upstream hash.
func (e *Entry) othersLoads(now time.Time) map[uint64]forwarder.Load {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.refresh(e, now)
	return e.members.loads
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
	for hash, l := range e.board.Loads(time.Now()) {
		b.Running = append(b.Running, &messenger.Running{
			Upstream: hash, Requests: int32(l.Running), Failing: int32(l.Failing * percent), Slow: int32(l.Stretch * percent),
		})
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
	for _, h := range e.callers(now).Live(now) {
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
	go e.acquaint(ctx, acquaintLongest)
	e.retry(ctx, e.enlist)
	for ctx.Err() == nil {
		e.retry(ctx, e.readHosts)
		e.acquaint(ctx, acquaintTime)
		waiter.Sleep(ctx, hostsEvery)
	}
	return nil
}

// acquaint lets the host count itself among the others after a time in which
// they have been heard.
func (e *Entry) acquaint(ctx context.Context, after time.Duration) {
	if e.acquainted.Load() {
		return
	}
	e.gossiper.Send()
	waiter.Sleep(ctx, after)
	if !e.acquainted.Swap(true) {
		e.config.Logger.Info().Int("hosts", len(e.gossiper.Table().Live(time.Now()))).Msg("other hosts are known")
		e.changed()
	}
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
