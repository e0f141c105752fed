package gossiper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/messenger"
)

// maxHeartbeatBytes is the maximum size of an encoded heartbeat, so that it fits
// into one UDP datagram without fragmentation.
const maxHeartbeatBytes = 1400

// peersPerHeartbeat is the maximum number of other hosts' addresses in a heartbeat.
const peersPerHeartbeat = 4

// Config holds the settings and dependencies of a Gossiper.
type Config struct {
	// Conn sends and receives heartbeats. Run closes it.
	Conn net.PacketConn
	// Address is this host's peer address, host:port, which its heartbeats contain.
	Address string
	// Self returns a new heartbeat of this host. The Gossiper sets its Sequence
	// and Peers.
	Self func() *messenger.Beat
	// Changed is called after the state of another host has changed: the host has become
	// live, is no longer live, has restarted, has become ready or unready, has started
	// to leave, or reports another configuration version.
	Changed func()
	Logger  zerolog.Logger
}

// A Gossiper sends and receives heartbeats. It is safe for concurrent use.
type Gossiper struct {
	config Config

	mu    sync.Mutex
	table Table
	// sequence is the sequence number of the last heartbeat sent.
	sequence uint64
	// live holds the addresses of the hosts that were live at the last call of
	// updateLive.
	live map[string]bool
}

// New returns a Gossiper that knows no other hosts.
func New(c Config) *Gossiper { return &Gossiper{config: c} }

// Table returns a snapshot of the known hosts.
func (g *Gossiper) Table() Table {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table
}

// AddPeer adds a host by its peer address, or extends how long it is remembered. The
// host's own address is ignored.
func (g *Gossiper) AddPeer(address string, now time.Time) {
	if address == g.config.Address {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table = g.table.WithPeer(address, now)
}

// Run sends a heartbeat to all known hosts every heartbeatInterval and receives the
// heartbeats of other hosts, until ctx is cancelled. It then closes Config.Conn and
// returns nil.
func (g *Gossiper) Run(ctx context.Context) error {
	var receiving sync.WaitGroup
	receiving.Go(func() { g.receive(ctx) })
	defer receiving.Wait()
	defer func() { _ = g.config.Conn.Close() }()
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		g.Send()
		g.updateLive(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Send sends a heartbeat to every known host immediately, without waiting for the
// next interval.
func (g *Gossiper) Send() { g.send(g.Table().Addresses()) }

// reply sends a heartbeat to one host.
func (g *Gossiper) reply(address string) { g.send([]string{address}) }

// send sends a heartbeat to the addresses. If the encoded heartbeat is too large for
// a datagram, send omits the requests in flight.
func (g *Gossiper) send(addresses []string) {
	heartbeat := g.config.Self()
	g.mu.Lock()
	g.sequence++
	heartbeat.Sequence = g.sequence
	heartbeat.Peers = pickAddresses(g.table.Addresses())
	g.mu.Unlock()
	data, err := proto.Marshal(heartbeat)
	if err == nil && len(data) > maxHeartbeatBytes {
		heartbeat.Running = nil
		data, err = proto.Marshal(heartbeat)
	}
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("could not encode heartbeat")
		return
	}
	for _, address := range addresses {
		if err := g.sendTo(address, data); err != nil {
			g.config.Logger.Debug().Err(err).Str("peer", address).Msg("could not send heartbeat")
		}
	}
}

// sendTo sends an encoded heartbeat to a peer address, host:port. The host name is
// resolved each time.
func (g *Gossiper) sendTo(address string, data []byte) error {
	udpAddress, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return fmt.Errorf("resolve peer address: %w", err)
	}
	_, err = g.config.Conn.WriteTo(data, udpAddress)
	return err
}

// pickAddresses returns at most peersPerHeartbeat of the addresses, starting at a
// random address, so that every address is sent over time.
func pickAddresses(addresses []string) []string {
	if len(addresses) <= peersPerHeartbeat {
		return addresses
	}
	start := rand.IntN(len(addresses))
	var selected []string
	for i := range peersPerHeartbeat {
		selected = append(selected, addresses[(start+i)%len(addresses)])
	}
	return selected
}

// receive handles incoming heartbeats until ctx is cancelled or the connection is
// closed.
func (g *Gossiper) receive(ctx context.Context) {
	data := make([]byte, 64<<10)
	for {
		n, _, err := g.config.Conn.ReadFrom(data)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			g.config.Logger.Debug().Err(err).Msg("could not receive heartbeat")
			continue
		}
		heartbeat := &messenger.Beat{}
		if err := proto.Unmarshal(data[:n], heartbeat); err != nil {
			g.config.Logger.Warn().Err(err).Msg("could not decode heartbeat")
			continue
		}
		g.handleHeartbeat(heartbeat, time.Now())
	}
}

// handleHeartbeat adds the sender of a heartbeat, and the hosts that the heartbeat
// names, to the table. It calls Config.Changed if the sender's state changed.
func (g *Gossiper) handleHeartbeat(heartbeat *messenger.Beat, now time.Time) {
	self := g.config.Address
	if heartbeat.GetAddress() == self || heartbeat.GetAddress() == "" {
		return
	}
	g.mu.Lock()
	old := g.table.Peer(heartbeat.GetAddress()).Beat
	g.table = g.table.WithHeartbeat(heartbeat, now)
	for _, address := range heartbeat.GetPeers() {
		if address != self {
			g.table = g.table.WithPeer(address, now)
		}
	}
	g.mu.Unlock()
	if old.GetIncarnation() != heartbeat.GetIncarnation() {
		// The sender has just started, or is new to this host. It may not know
		// this host yet, so reply at once.
		g.reply(heartbeat.GetAddress())
	}
	if old == nil || stateChanged(old, heartbeat) {
		g.updateLive(now)
		g.config.Changed()
	}
}

// stateChanged reports whether two heartbeats of one host differ in incarnation,
// readiness, leaving or configuration version. A change of any other field, such as
// the requests in flight, does not lead to a call of Config.Changed.
func stateChanged(a, b *messenger.Beat) bool {
	return a.GetIncarnation() != b.GetIncarnation() || a.GetReady() != b.GetReady() ||
		a.GetLeaving() != b.GetLeaving() || a.GetConfig() != b.GetConfig()
}

// updateLive recomputes the set of live hosts. It logs each host that became live or
// stopped being live since the last call, and then calls Config.Changed. It also
// removes from the table the hosts that have expired (see WithoutExpired).
func (g *Gossiper) updateLive(now time.Time) {
	live := make(map[string]bool)
	g.mu.Lock()
	g.table = g.table.WithoutExpired(now)
	for _, b := range g.table.Live(now) {
		live[b.GetAddress()] = true
	}
	previous := g.live
	g.live = live
	g.mu.Unlock()
	changed := false
	for address := range live {
		if !previous[address] {
			changed = true
			g.config.Logger.Info().Str("peer", address).Msg("peer is live")
		}
	}
	for address := range previous {
		if !live[address] {
			changed = true
			g.config.Logger.Warn().Str("peer", address).Dur("silence_ms", livenessTimeout).Msg("peer is not live: no heartbeat received")
		}
	}
	if changed {
		g.config.Changed()
	}
}
