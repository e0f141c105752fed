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

// maxBeat bounds a heartbeat in bytes: it has to fit into one datagram.
const maxBeat = 1400

// namesInBeat is how many other hosts a heartbeat names.
const namesInBeat = 4

// Config is what a Gossiper works with.
type Config struct {
	// Conn sends and receives heartbeats.
	Conn net.PacketConn
	// Address is the host's own in its heartbeats.
	Address string
	// Self returns the host's own heartbeat.
	Self func() *messenger.Beat
	// Changed is called when a host comes or goes or a configuration is new.
	Changed func()
	Logger  zerolog.Logger
}

// A Gossiper sends and receives heartbeats.
type Gossiper struct {
	config Config

	mu       sync.Mutex
	table    Table
	sequence uint64
	// live has the addresses of the hosts that were live at the last look.
	live map[string]bool
}

// New returns a Gossiper.
func New(c Config) *Gossiper { return &Gossiper{config: c} }

// Table returns what is known of the other hosts.
func (g *Gossiper) Table() Table {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table
}

// Name tells the Gossiper of a host.
func (g *Gossiper) Name(address string, now time.Time) {
	if address == g.config.Address {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table = g.table.WithName(address, now)
}

// Run sends and receives heartbeats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	var receiving sync.WaitGroup
	receiving.Go(func() { g.receive(ctx) })
	defer receiving.Wait()
	defer func() { _ = g.config.Conn.Close() }()
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		g.Send()
		g.look(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Send sends a heartbeat to every known host.
func (g *Gossiper) Send() { g.send(g.Table().Names()) }

// answer sends a heartbeat to one host.
func (g *Gossiper) answer(name string) { g.send([]string{name}) }

func (g *Gossiper) send(names []string) {
	beat := g.config.Self()
	g.mu.Lock()
	g.sequence++
	beat.Sequence = g.sequence
	beat.Peers = some(g.table.Names())
	g.mu.Unlock()
	data, err := proto.Marshal(beat)
	if err == nil && len(data) > maxBeat {
		beat.Running = nil
		data, err = proto.Marshal(beat)
	}
	if err != nil {
		g.config.Logger.Error().Err(err).Msg("heartbeat not encoded")
		return
	}
	for _, name := range names {
		if err := g.sendTo(name, data); err != nil {
			g.config.Logger.Debug().Err(err).Str("peer", name).Msg("heartbeat not sent")
		}
	}
}

func (g *Gossiper) sendTo(name string, data []byte) error {
	address, err := net.ResolveUDPAddr("udp4", name)
	if err != nil {
		return fmt.Errorf("address of host: %w", err)
	}
	_, err = g.config.Conn.WriteTo(data, address)
	return err
}

// some returns a few of the names, others each time.
func some(names []string) []string {
	if len(names) <= namesInBeat {
		return names
	}
	start := rand.IntN(len(names))
	var picked []string
	for i := range namesInBeat {
		picked = append(picked, names[(start+i)%len(names)])
	}
	return picked
}

func (g *Gossiper) receive(ctx context.Context) {
	data := make([]byte, 64<<10)
	for {
		n, _, err := g.config.Conn.ReadFrom(data)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			g.config.Logger.Debug().Err(err).Msg("heartbeat not received")
			continue
		}
		beat := &messenger.Beat{}
		if err := proto.Unmarshal(data[:n], beat); err != nil {
			g.config.Logger.Warn().Err(err).Msg("heartbeat not readable")
			continue
		}
		g.take(beat, time.Now())
	}
}

func (g *Gossiper) take(beat *messenger.Beat, now time.Time) {
	self := g.config.Address
	if beat.GetAddress() == self || beat.GetAddress() == "" {
		return
	}
	g.mu.Lock()
	old := g.table.Peer(beat.GetAddress()).Beat
	g.table = g.table.WithBeat(beat, now)
	for _, name := range beat.GetPeers() {
		if name != self {
			g.table = g.table.WithName(name, now)
		}
	}
	g.mu.Unlock()
	if old.GetIncarnation() != beat.GetIncarnation() {
		// A host that has just started does not know this one yet.
		g.answer(beat.GetAddress())
	}
	if old == nil || differs(old, beat) {
		g.look(now)
		g.config.Changed()
	}
}

// differs reports whether a heartbeat says something new of its host.
func differs(a, b *messenger.Beat) bool {
	return a.GetIncarnation() != b.GetIncarnation() || a.GetReady() != b.GetReady() ||
		a.GetLeaving() != b.GetLeaving() || a.GetConfig() != b.GetConfig()
}

// look logs the hosts that came or went since the last look.
func (g *Gossiper) look(now time.Time) {
	live := make(map[string]bool)
	g.mu.Lock()
	g.table = g.table.WithoutForgotten(now)
	for _, b := range g.table.Live(now) {
		live[b.GetAddress()] = true
	}
	before := g.live
	g.live = live
	g.mu.Unlock()
	changed := false
	for address := range live {
		if !before[address] {
			changed = true
			g.config.Logger.Info().Str("peer", address).Msg("host is heard")
		}
	}
	for address := range before {
		if !live[address] {
			changed = true
			g.config.Logger.Warn().Str("peer", address).Dur("silence_ms", silence).Msg("host is no longer heard")
		}
	}
	if changed {
		g.config.Changed()
	}
}
