package challenger_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/standin"
)

// process is one simulated process of a host. A restart creates a new process.
type process struct {
	name   string
	entry  *citronpier.Entry
	link   *standin.Link
	packet *standin.MemoryPacket
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// killed reports whether the process was killed.
	killed bool
	// leaving reports whether a graceful stop of the process has begun.
	leaving bool
	// dropHeartbeats makes the process lose all heartbeats it sends or receives.
	dropHeartbeats bool
	// resumed is nil unless the process is paused; it is closed on resume.
	resumed chan struct{}
}

func (p *process) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// waitRunning waits while the process is paused, and reports whether it is
// alive afterwards.
func (p *process) waitRunning() bool {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	return !p.isKilled()
}

// resume ends a pause of the process, if it is paused.
func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		return
	}
	close(p.resumed)
	p.resumed = nil
	p.link.Resume()
}

// start starts a new host, which gets new addresses.
func (fx *fixture) start() *process {
	fx.mu.Lock()
	fx.started++
	number := fx.started
	fx.mu.Unlock()
	address := fx.network.Address(1000 + 10*number)
	callers := fx.network.Address(1001 + 10*number)
	p := &process{name: fmt.Sprint("host", number), done: make(chan struct{})}
	p.link = standin.NewLink(fx.network.Dial, fx.network.Listen)
	packet, err := fx.network.ListenPacket(address)
	if err != nil {
		fx.t.Fatal(err)
	}
	packet.Cut = func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.killed || p.dropHeartbeats || p.resumed != nil
	}
	p.packet = packet
	p.entry = citronpier.NewEntry(citronpier.EntryConfig{
		Host:           descriptor.Host{ID: address, Peer: address, Caller: callers, DataCentre: "d"},
		Store:          fx.store.Host(p.name),
		Shards:         shards,
		RecordBytes:    1 << 16,
		Codec:          codec{},
		Configurations: configurations,
		Upstreams:      upstreams,
		Hosts:          hostList,
		Quarantines:    quarantines,
		Gossip:         packet,
		Dial:           p.link.Dial,
		Grace:          4 * time.Second,
		Logger:         zerolog.Nop(),
	})
	listener, err := p.link.Listen(address)
	if err != nil {
		fx.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	fx.mu.Lock()
	fx.processes = append(fx.processes, p)
	fx.mu.Unlock()
	go func() {
		defer close(p.done)
		endpoint := citronpier.Endpoint{Listener: listener, Handler: p.entry.PeerHandler()}
		if err := p.entry.Run(ctx, endpoint); err != nil && !p.isKilled() && !errors.Is(err, net.ErrClosed) {
			fx.t.Errorf("%s: %v", p.name, err)
		}
	}()
	return p
}
