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
	// hostsReadInterval is the time between two reads of the service-discovery list in the
	// store. News report changes sooner. The list is read so that groups of
	// hosts that don't know each other find each other.
	hostsReadInterval = 5 * time.Second
	// hostsRetryDelay is the time between attempts to read or write the list while
	// the store is unavailable.
	hostsRetryDelay = 300 * time.Millisecond
	// answerWait is how long a host that has read the service-discovery list waits for
	// the answers of the listed hosts to its pings.
	answerWait = 300 * time.Millisecond
	// maxAnswerWait is how long a starting host waits for answers if the
	// service-discovery list can't be read.
	maxAnswerWait = 1500 * time.Millisecond
	// membersMaxAge is how long the contents of a memberCache are used before they
	// are computed again.
	membersMaxAge = 50 * time.Millisecond
	// directoryTTL is how long callers may use the host addresses that Addresses
	// returned.
	directoryTTL = 2 * time.Second
)

// memberCache caches, for membersMaxAge, what this host computes from the
// states and load reports of the live hosts. The zero value is empty.
type memberCache struct {
	mu      sync.Mutex
	builtAt time.Time
	// homes holds the hosts that may be home of shards. callers holds the hosts
	// that accept requests of callers.
	homes   locator.View
	callers locator.View
	// loads holds the loads of upstreams, summed over the reports of other hosts,
	// by the hash of the upstream's ID.
	loads map[uint64]forwarder.UpstreamLoad
	// demands holds the requests a second that arrive at other hosts, by the hash of the
	// service's name and by host.
	demands map[uint64]map[string]float64
	// telling is the number of hosts that accept requests and tell this one their loads and
	// demands, this one included.
	telling int
	// told holds the requests a second that other data centres have told, by the hash of the
	// service's name and by data centre.
	told map[uint64]map[string]float64
	// byDataCentre caches dataCentreDemands.
	byDataCentre map[uint64]map[string]float64
}

// invalidate makes the next read compute the contents again.
func (c *memberCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.builtAt = time.Time{}
}

// refresh computes the contents again if they are older than membersMaxAge. The
// caller holds c.mu.
func (c *memberCache) refresh(e *Entry, now time.Time) {
	if now.Sub(c.builtAt) < membersMaxAge {
		return
	}
	c.builtAt = now
	c.told, c.byDataCentre = demandsByService(e.gossiper.DataCentreDemands()), nil
	c.loads, c.demands = sumReports(e.gossiper.Loads(now))
	var homes, callers []descriptor.Host
	if !e.Stopping() {
		homes = append(homes, e.config.Host)
	}
	if e.Ready() {
		callers = append(callers, e.config.Host)
	}
	for _, m := range e.gossiper.Table().Live() {
		if m.GetLeaving() {
			continue
		}
		homes = append(homes, hostOf(m))
		if m.GetReady() {
			callers = append(callers, hostOf(m))
		}
	}
	if len(homes) == 0 {
		// This host and all other live hosts are leaving. This host continues to own the
		// shards, so that its running requests can finish.
		homes = append(homes, e.config.Host)
	}
	if !e.peersKnown.Load() {
		// This host does not know the other hosts yet and would compute that it is the
		// home of every shard.
		homes = nil
	}
	c.homes = locator.View{}.WithMembers(descriptor.Members{Hosts: homes})
	c.callers = locator.View{}.WithMembers(descriptor.Members{Hosts: callers})
	c.telling = tellingHosts(callers, e.config.Host.DataCentre)
}

// hostOf returns the host that a state describes.
func hostOf(m *messenger.Member) descriptor.Host {
	return descriptor.Host{
		ID: m.GetAddress(), Peer: m.GetAddress(), Caller: m.GetCaller(), DataCentre: m.GetDatacentre(),
	}
}

// homes returns the hosts that may be home of shards, including this one unless
// it is leaving. The view is empty before the other hosts are known.
func (e *Entry) homes(now time.Time) locator.View {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.refresh(e, now)
	return e.members.homes
}

// callers returns the hosts that accept requests of callers.
func (e *Entry) callers(now time.Time) locator.View {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	e.members.refresh(e, now)
	return e.members.callers
}

// hostAlive reports whether another host counts as live.
func (e *Entry) hostAlive(host string) bool {
	return e.gossiper.Table().Peer(host).Live()
}

// member returns the state of this host for other hosts, and the version of its
// configuration.
func (e *Entry) member() (*messenger.Member, int64) {
	m := &messenger.Member{
		Address:     e.config.Host.Peer,
		Incarnation: e.incarnation,
		Datacentre:  e.config.Host.DataCentre,
		Caller:      e.config.Host.Caller,
		Ready:       e.Ready(),
		Leaving:     e.Stopping(),
		Stored:      e.relayer.ReachesDirectly(time.Now()),
	}
	return m, e.watcher.Configuration().Version
}

// membersChanged is called when the state of another host has changed. If another
// host has a newer configuration, this host reads the configuration again at once.
func (e *Entry) membersChanged() {
	e.members.invalidate()
	if e.gossiper.NewestConfig() > e.watcher.Configuration().Version {
		e.watcher.Reread()
	}
}

// Addresses returns the addresses that a caller in a data centre should connect
// to and how long the caller may use them. They are the addresses of the hosts in
// the data centre that accept requests. If there are none, they are the addresses
// of all hosts that accept requests.
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
	return all, directoryTTL
}

// followHosts adds this host to the service-discovery list in the store and then reads the
// other hosts from it every hostsReadInterval.
func (e *Entry) followHosts(ctx context.Context) error {
	now := time.Now()
	for _, seed := range e.config.Seeds {
		e.gossiper.AddPeer(seed, now)
	}
	go e.awaitPeers(ctx, maxAnswerWait)
	go e.retry(ctx, e.readQuarantines)
	e.retry(ctx, e.register)
	for ctx.Err() == nil {
		e.retry(ctx, e.readHosts)
		e.awaitPeers(ctx, answerWait)
		waiter.Sleep(ctx, hostsReadInterval)
	}
	return nil
}

// awaitPeers waits for the given time, in which the answers of other hosts can
// arrive, and then sets peersKnown. From then on this host may become home of
// shards. If peersKnown is already set, awaitPeers returns at once.
func (e *Entry) awaitPeers(ctx context.Context, wait time.Duration) {
	if e.peersKnown.Load() {
		return
	}
	e.gossiper.Publish(time.Now())
	waiter.Sleep(ctx, wait)
	if !e.peersKnown.Swap(true) {
		e.config.Logger.Info().Int("hosts", len(e.gossiper.Table().Live())).Msg("other hosts are known")
		e.announceChange()
	}
}

// retry repeats a read or write of the service-discovery list until it succeeds or ctx
// ends.
func (e *Entry) retry(ctx context.Context, call func(context.Context) error) {
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			return
		}
		e.config.Logger.Debug().Err(err).Msg("service-discovery list in the store could not be reached, will retry")
		waiter.Sleep(ctx, hostsRetryDelay)
	}
}

// register adds this host to the service-discovery list in the store.
func (e *Entry) register(ctx context.Context) error {
	record := e.config.Codec.EncodeKeyed(e.config.Host.Peer, []byte(e.config.Host.DataCentre))
	_, err := e.relayer.Append(ctx, e.config.Hosts, [][]byte{record}, connector.AnyEnd)
	return err
}

// deregister removes this host from the service-discovery list in the store. If
// this fails, the other hosts continue to ping this host's address.
func (e *Entry) deregister(ctx context.Context) {
	record := e.config.Codec.EncodeKeyed(e.config.Host.Peer, nil)
	if _, err := e.relayer.Append(ctx, e.config.Hosts, [][]byte{record}, connector.AnyEnd); err != nil {
		e.config.Logger.Info().Err(err).Msg("host was not removed from the service-discovery list")
	}
}

// readHosts reads the service-discovery list and adds the listed hosts to the hosts
// that are pinged.
func (e *Entry) readHosts(ctx context.Context) error {
	newest, err := e.relayer.Newest(ctx, e.config.Hosts)
	if err != nil {
		return err
	}
	now := time.Now()
	var registered []string
	for _, item := range newest.Items {
		registered = append(registered, item.Key)
		if item.Key != e.config.Host.Peer {
			e.gossiper.AddPeer(item.Key, now)
		}
	}
	e.allowances.setRegistered(registered)
	return nil
}
