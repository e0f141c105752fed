package gossiper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/messenger"
)

// Config holds the settings and dependencies of a Gossiper.
type Config struct {
	// Conn sends and receives datagrams. Run closes it.
	Conn net.PacketConn
	// Self returns the state of this host, without version and status, and the version
	// of its configuration. Its Address does not change.
	Self func() (*messenger.Member, int64)
	// Running returns the requests that this host has in flight at upstreams.
	Running func(now time.Time) []*messenger.Running
	// Demands returns the requests a second that arrive at this host for each service; nil if
	// it reports none.
	Demands func(now time.Time) []*messenger.Demand
	// Crashes keeps the reports of crashes of this host and others; nil if none are exchanged.
	Crashes CrashStore
	// Changed is called after the state of another host has changed: the host has become
	// live, is no longer live, has restarted, has become ready or unready, or has started
	// to leave; and after another host has told of a newer configuration.
	Changed func()
	Logger  zerolog.Logger
}

// A Gossiper exchanges datagrams with the Gossipers of other hosts, as its Detector
// decides. It is safe for concurrent use.
type Gossiper struct {
	config Config

	mu       sync.Mutex
	detector *Detector
	// live holds the states of the hosts that were live at the last call of notify, by
	// address. changes and newestConfig are what the detector returned then.
	live                  map[string]*messenger.Member
	changes, newestConfig int64
}

// New returns a Gossiper that knows no other hosts. The version of the host's state
// starts with the time of day in milliseconds, so that it is mostly higher than in
// earlier runs of the host.
func New(c Config, now time.Time) *Gossiper {
	self, _ := c.Self()
	self.Version = uint64(now.UnixMilli())
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	detector := NewDetector(self, random)
	detector.keepCrashes(c.Crashes)
	return &Gossiper{config: c, detector: detector}
}

// Table returns a snapshot of the known hosts.
func (g *Gossiper) Table() Table {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Table()
}

// Loads returns the newest load reports of other hosts.
func (g *Gossiper) Loads(now time.Time) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Loads(now)
}

// DataCentreDemands returns the demands of other data centres, as their hosts have told.
func (g *Gossiper) DataCentreDemands() map[string][]*messenger.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.DataCentreDemands()
}

// NewestConfig returns the highest version of the configuration that another host has.
func (g *Gossiper) NewestConfig() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.NewestConfig()
}

// ConfigOf returns the version of the configuration that a host had when it last sent
// this host a datagram; 0 if it sent none.
func (g *Gossiper) ConfigOf(address string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.ConfigOf(address)
}

// AddPeer adds a host by its peer address, or extends how long it is remembered. The
// host's own address is ignored.
func (g *Gossiper) AddPeer(address string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.AddAddress(address, now)
}

// Run exchanges datagrams with other hosts until ctx is cancelled. It then closes
// Config.Conn and returns nil.
func (g *Gossiper) Run(ctx context.Context) error {
	var receiving sync.WaitGroup
	receiving.Go(func() { g.receive(ctx) })
	defer receiving.Wait()
	defer func() { _ = g.config.Conn.Close() }()
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		self, config := g.config.Self()
		running := g.config.Running(now)
		var demands []*messenger.Demand
		if g.config.Demands != nil {
			demands = g.config.Demands(now)
		}
		g.update(func(d *Detector) []Envelope {
			d.SetSelf(self, config)
			d.SetLoad(running, demands)
			return d.Tick(now)
		})
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Publish tells other hosts at once if the state of this host or the version of its
// configuration has changed.
func (g *Gossiper) Publish(now time.Time) {
	self, config := g.config.Self()
	g.update(func(d *Detector) []Envelope {
		d.SetSelf(self, config)
		return d.Flush(now)
	})
}

// ReportCrash tells other hosts of a report of this host.
func (g *Gossiper) ReportCrash(c *messenger.Crash, now time.Time) {
	g.update(func(d *Detector) []Envelope {
		d.ReportCrash(c)
		return d.Flush(now)
	})
}

// update lets the detector decide, sends its datagrams and calls Config.Changed if the
// state of other hosts changed.
func (g *Gossiper) update(decide func(*Detector) []Envelope) {
	g.mu.Lock()
	out := decide(g.detector)
	g.mu.Unlock()
	for _, e := range out {
		if err := g.send(e); err != nil {
			g.config.Logger.Debug().Err(err).Str("peer", e.To).Msg("could not send datagram")
		}
	}
	g.notify()
}

// send sends one datagram.
func (g *Gossiper) send(e Envelope) error {
	data, err := proto.Marshal(e.Message)
	if err != nil {
		return fmt.Errorf("encode datagram: %w", err)
	}
	to, err := resolve(e.To)
	if err != nil {
		return fmt.Errorf("resolve peer address: %w", err)
	}
	_, err = g.config.Conn.WriteTo(data, to)
	return err
}

// resolve returns the UDP address of a peer address, IP:PORT. Names are not looked up: an odd
// entry in the list of hosts would hold up the datagrams to all others.
func resolve(address string) (*net.UDPAddr, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.UDPAddrFromAddrPort(to), nil
}

// maxDatagram is the size in bytes of the largest datagram that is received.
const maxDatagram = 64 << 10

// receive handles incoming datagrams until ctx is cancelled or the connection is
// closed.
func (g *Gossiper) receive(ctx context.Context) {
	data := make([]byte, maxDatagram)
	for {
		n, _, err := g.config.Conn.ReadFrom(data)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			g.config.Logger.Debug().Err(err).Msg("could not receive datagram")
			continue
		}
		m := &messenger.Gossip{}
		if err := proto.Unmarshal(data[:n], m); err != nil {
			g.config.Logger.Warn().Err(err).Msg("could not decode datagram")
			continue
		}
		g.update(func(d *Detector) []Envelope { return d.Receive(m, time.Now()) })
	}
}

// notify logs each host that became live or stopped being live since the last call,
// and calls Config.Changed if the state of a host changed.
func (g *Gossiper) notify() {
	g.mu.Lock()
	changes, newestConfig := g.detector.Changes(), g.detector.NewestConfig()
	if changes == g.changes && newestConfig == g.newestConfig {
		g.mu.Unlock()
		return
	}
	previous, live := g.live, make(map[string]*messenger.Member)
	for _, m := range g.detector.Table().Live() {
		live[m.GetAddress()] = m
	}
	g.live, g.changes, g.newestConfig = live, changes, newestConfig
	g.mu.Unlock()
	g.logChanges(previous, live)
	g.config.Changed()
}

// logChanges logs the hosts that became live, restarted or stopped being live.
func (g *Gossiper) logChanges(previous, live map[string]*messenger.Member) {
	for address, m := range live {
		if previous[address].GetIncarnation() != m.GetIncarnation() {
			g.config.Logger.Info().Str("peer", address).Uint64("version", m.GetVersion()).Msg("peer is live")
		}
	}
	for address, m := range previous {
		if live[address] == nil {
			g.config.Logger.Warn().Str("peer", address).Uint64("version", m.GetVersion()).
				Msg("peer is not live: it answers no probe")
		}
	}
}
