package launcher

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/citronpier/citronpier"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/standin"
)

// Host is one host of the fleet.
type Host struct {
	descriptor.Host
	// Link carries all connections of the host. It can interrupt them.
	Link *standin.Link
	// Node is the host under test.
	Node *citronpier.Host
	// skew is the host's wall clock minus the real time, in nanoseconds.
	skew atomic.Int64
	// cancel begins the graceful stop of Node.
	cancel context.CancelFunc
	// done is closed when Node.Run has returned; err holds the result of
	// Node.Run and is set before done is closed.
	done chan struct{}
	err  error
}

// AddHost starts one more host, in the next data centre of the configuration.
func (f *Fleet) AddHost(id string) (*Host, error) {
	link := standin.NewLink(f.config.Network.Dial, f.config.Network.Listen)
	callers, err := link.Listen(f.nextAddress())
	if err != nil {
		return nil, fmt.Errorf("host %s: listen for callers: %w", id, err)
	}
	peers, err := link.Listen(f.nextAddress())
	if err != nil {
		return nil, fmt.Errorf("host %s: listen for peers: %w", id, err)
	}
	h := &Host{Link: link, done: make(chan struct{})}
	h.Host = descriptor.Host{
		ID: id, Caller: callers.Addr().String(), Peer: peers.Addr().String(), DataCentre: f.dataCentre(len(f.Hosts)),
	}
	h.Node, err = citronpier.New(append([]citronpier.Option{
		citronpier.WithHost(h.Host),
		citronpier.WithTokenKeys([]byte(tokenKey)),
		citronpier.WithPeerKey(peerKey),
		citronpier.WithLog(dialer.NewLog(f.logAddress, link.Dial)),
		citronpier.WithList(dialer.NewList(f.listAddress, link.Dial)),
		citronpier.WithDial(link.Dial),
		citronpier.WithWallClock(h.wallClock),
		citronpier.WithListeners(callers, peers),
		citronpier.WithLogger(f.config.Logger),
		citronpier.WithDrainPeriod(f.config.DrainPeriod),
		citronpier.WithDrainTimeout(f.config.DrainTimeout),
	}, f.config.Options...)...)
	if err != nil {
		return nil, fmt.Errorf("create host %s: %w", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		defer close(h.done)
		h.err = h.Node.Run(ctx)
	}()
	f.Hosts = append(f.Hosts, h)
	return h, nil
}

// wallClock returns the real time shifted by the host's clock skew.
func (h *Host) wallClock() time.Time { return time.Now().Add(time.Duration(h.skew.Load())) }

// SetClockSkew sets the skew of the host's wall clock: its offset from the real
// time. A positive skew puts the host ahead.
func (h *Host) SetClockSkew(skew time.Duration) { h.skew.Store(int64(skew)) }

// Stop stops the host gracefully, waits until it has ended and returns the
// error of its run.
func (h *Host) Stop() error {
	h.cancel()
	<-h.done
	return h.err
}

// Kill simulates a crash of the host's process. It first closes the host's
// connections, so that the host can't tell any other process that it is
// stopping. Kill does not wait until the host has ended.
func (h *Host) Kill() {
	h.Link.Kill()
	h.Node.Abandon()
}
