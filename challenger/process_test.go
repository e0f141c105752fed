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

// process is one incarnation of a host.
type process struct {
	name   string
	entry  *citronpier.Entry
	link   *standin.Link
	packet *standin.MemoryPacket
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	dead    bool
	leaving bool
	silent  bool
	// gate is not nil while the process stands still.
	gate chan struct{}
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// await returns once the process goes on, and reports whether it lives.
func (p *process) await() bool {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	if gate != nil {
		<-gate
	}
	return !p.isDead()
}

// resume has a process that stands still go on.
func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gate == nil {
		return
	}
	close(p.gate)
	p.gate = nil
	p.link.Resume()
}

// start starts a host.
func (w *world) start() *process {
	w.mu.Lock()
	w.started++
	number := w.started
	w.mu.Unlock()
	address := w.network.Address(1000 + 10*number)
	callers := w.network.Address(1001 + 10*number)
	p := &process{name: fmt.Sprint("host", number), done: make(chan struct{})}
	p.link = standin.NewLink(w.network.Dial, w.network.Listen)
	packet, err := w.network.ListenPacket(address)
	if err != nil {
		w.t.Fatal(err)
	}
	packet.Cut = func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.dead || p.silent || p.gate != nil
	}
	p.packet = packet
	p.entry = citronpier.NewEntry(citronpier.EntryConfig{
		Host:           descriptor.Host{ID: address, Peer: address, Caller: callers, DataCentre: "d"},
		Store:          w.store.Host(p.name),
		Shards:         shards,
		RecordBytes:    1 << 16,
		Codec:          codec{},
		Configurations: configurations,
		Upstreams:      upstreams,
		Hosts:          hostList,
		Beats:          packet,
		Dial:           p.link.Dial,
		Grace:          4 * time.Second,
		Logger:         zerolog.Nop(),
	})
	listener, err := p.link.Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		defer close(p.done)
		endpoint := citronpier.Endpoint{Listener: listener, Handler: p.entry.PeerHandler()}
		if err := p.entry.Run(ctx, endpoint); err != nil && !p.isDead() && !errors.Is(err, net.ErrClosed) {
			w.t.Errorf("%s: %v", p.name, err)
		}
	}()
	return p
}
