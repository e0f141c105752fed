package launcher

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/standin"
)

// The keys of a fleet's hosts.
const (
	tokenKey = "launcher-token-key-launcher"
	peerKey  = "launcher-peer-key"
)

// Network is how the processes of a fleet reach each other.
type Network struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Listen func(address string) (net.Listener, error)
	// Address returns the address to listen on for the n-th port.
	Address func(n int) string
}

// Loopback is the machine's own network on ports that the system chooses.
func Loopback() Network {
	return Network{
		Dial:    dialer.NewDial(),
		Listen:  standin.Listen,
		Address: func(int) string { return "127.0.0.1:0" },
	}
}

// Config describes a fleet.
type Config struct {
	Network     Network
	DataCentres []string
	Hosts       int
	Engines     int
	Engine      standin.EngineConfig
	Model       string
	// Services names the plain services. Each has one upstream.
	Services []string
	Rules    string
	// Lag is how late the list shows a change.
	Lag time.Duration
	// Expire is how long the list shows a host that died; 0 is for ever.
	Expire time.Duration
	Logger zerolog.Logger
	// Options are given to each host besides its own.
	Options []citronpier.Option
	Linger  time.Duration
	Drain   time.Duration
}

// Fleet is a running set of hosts and stand-ins.
type Fleet struct {
	Log      *standin.Log
	List     *standin.List
	Engines  []*Engine
	Services map[string]*Service
	Hosts    []*Host

	config  Config
	logAt   string
	listAt  string
	ports   int
	servers []*standin.Server
	running sync.WaitGroup
}

// Engine is one running model engine.
type Engine struct {
	*standin.Engine
	Server   *standin.Server
	Upstream descriptor.Upstream
}

// Service is one running plain service.
type Service struct {
	*standin.Service
	Server   *standin.Server
	Upstream descriptor.Upstream
}

// Host is one running host.
type Host struct {
	descriptor.Host
	Link *standin.Link
	// Node is the host itself.
	Node *citronpier.Host
	// skew is how far the host's clock is off, in nanoseconds.
	skew   atomic.Int64
	cancel context.CancelFunc
	ended  chan struct{}
	err    error
}

// Start runs a fleet and publishes its rules.
func Start(c Config) (*Fleet, error) {
	f := &Fleet{Log: &standin.Log{}, List: &standin.List{Lag: c.Lag, Expire: c.Expire}, Services: make(map[string]*Service), config: c}
	if err := f.platform(); err != nil {
		return nil, err
	}
	if err := f.upstreams(); err != nil {
		return nil, err
	}
	if c.Rules != "" {
		if _, err := f.Publish(0, c.Rules, "launcher"); err != nil {
			return nil, err
		}
	}
	for i := range c.Hosts {
		if _, err := f.AddHost(fmt.Sprintf("host-%d", i+1)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// LogAddress and ListAddress are where the platform's stand-ins listen.
func (f *Fleet) LogAddress() string { return f.logAt }

// ListAddress is where the list listens.
func (f *Fleet) ListAddress() string { return f.listAt }

func (f *Fleet) platform() error {
	log, err := f.serve(f.Log.Handler())
	if err != nil {
		return err
	}
	list, err := f.serve(f.List.Handler())
	if err != nil {
		return err
	}
	f.logAt, f.listAt = log.Address(), list.Address()
	return nil
}

func (f *Fleet) serve(handler http.Handler) (*standin.Server, error) {
	s, err := standin.NewServer(f.address(), handler, f.config.Network.Listen)
	if err != nil {
		return nil, fmt.Errorf("start stand-in: %w", err)
	}
	f.servers = append(f.servers, s)
	return s, nil
}

func (f *Fleet) address() string {
	f.ports++
	return f.config.Network.Address(f.ports)
}

func (f *Fleet) dataCentre(i int) string { return f.config.DataCentres[i%len(f.config.DataCentres)] }

func (f *Fleet) engineList() []*standin.Engine {
	list := make([]*standin.Engine, len(f.Engines))
	for i, e := range f.Engines {
		list[i] = e.Engine
	}
	return list
}

// restartAfter is how long a crashed engine stays away.
const restartAfter = 500 * time.Millisecond

func (f *Fleet) upstreams() error {
	for i := range f.config.Engines {
		config := f.config.Engine
		config.ID = fmt.Sprintf("engine-%d", i+1)
		e := &Engine{Engine: standin.NewEngine(config)}
		s, err := f.serve(e.Handler())
		if err != nil {
			return err
		}
		e.Server = s
		e.OnCrash(func() { go bounce(s) })
		e.Upstream = descriptor.Upstream{
			ID: config.ID, Address: s.Address(), DataCentre: f.dataCentre(i),
			Models: []string{f.config.Model}, Slots: config.Slots,
		}
		f.Engines = append(f.Engines, e)
		e.SetPeers(f.engineList)
		f.List.SetUpstream(e.Upstream, time.Now())
	}
	for i, name := range f.config.Services {
		if err := f.service(i, name); err != nil {
			return err
		}
	}
	return nil
}

// bounce takes a crashed engine away for a while.
func bounce(s *standin.Server) {
	s.Stop()
	time.Sleep(restartAfter)
	_ = s.Start()
}

// serviceSlots is the number of calls that a plain service runs at once.
const serviceSlots = 16

func (f *Fleet) service(i int, name string) error {
	v := &Service{Service: &standin.Service{Work: 2 * time.Millisecond}}
	s, err := f.serve(v.Handler())
	if err != nil {
		return err
	}
	v.Server = s
	v.Upstream = descriptor.Upstream{
		ID: "service-" + name, Address: s.Address(), DataCentre: f.dataCentre(i), Service: name, Slots: serviceSlots,
	}
	f.Services[name] = v
	f.List.SetUpstream(v.Upstream, time.Now())
	return nil
}

// AddHost starts one more host.
func (f *Fleet) AddHost(id string) (*Host, error) {
	link := standin.NewLink(f.config.Network.Dial, f.config.Network.Listen)
	callers, err := link.Listen(f.address())
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := link.Listen(f.address())
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	h := &Host{Link: link, ended: make(chan struct{})}
	h.Host = descriptor.Host{
		ID: id, Caller: callers.Addr().String(), Peer: peers.Addr().String(), DataCentre: f.dataCentre(len(f.Hosts)),
	}
	h.Node, err = citronpier.New(append([]citronpier.Option{
		citronpier.WithHost(h.Host),
		citronpier.WithTokenKeys([]byte(tokenKey)),
		citronpier.WithPeerKey(peerKey),
		citronpier.WithLog(dialer.NewLog(f.logAt, link.Dial)),
		citronpier.WithList(dialer.NewList(f.listAt, link.Dial)),
		citronpier.WithDial(link.Dial),
		citronpier.WithWall(h.wall),
		citronpier.WithListeners(callers, peers),
		citronpier.WithLogger(f.config.Logger),
		citronpier.WithLinger(f.config.Linger),
		citronpier.WithDrain(f.config.Drain),
	}, f.config.Options...)...)
	if err != nil {
		return nil, fmt.Errorf("make host: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		defer close(h.ended)
		h.err = h.Node.Run(ctx)
	}()
	f.Hosts = append(f.Hosts, h)
	return h, nil
}

// wall is the host's clock.
func (h *Host) wall() time.Time { return time.Now().Add(time.Duration(h.skew.Load())) }

// StepClock sets how far the host's clock is off.
func (h *Host) StepClock(skew time.Duration) { h.skew.Store(int64(skew)) }

// Stop stops the host gracefully and waits for its end.
func (h *Host) Stop() error {
	h.cancel()
	<-h.ended
	return h.err
}

// Kill takes the host's connections away and lets it end unheard.
func (h *Host) Kill() {
	h.Link.Kill()
	h.Node.Abandon()
}

// Callers returns the caller addresses of all hosts.
func (f *Fleet) Callers() []string {
	list := make([]string, len(f.Hosts))
	for i, h := range f.Hosts {
		list[i] = h.Caller
	}
	return list
}

// Publish puts a rule file on the log and returns its version.
func (f *Fleet) Publish(base int64, text, author string) (int64, error) {
	now := time.Now()
	raw, err := publisher.Encode(rand.Text(), &recorder.RuleFile{
		Base: base, Text: text, Author: author, Time: now.UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	return f.Log.Add(publisher.Stream, raw, now) + 1, nil
}

// Ready waits until every host takes calls and knows all others.
func (f *Fleet) Ready(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := true
		for _, h := range f.Hosts {
			ready = ready && h.Node.Ready() && h.Node.Peers() >= len(f.Hosts)-1
		}
		if ready {
			return nil
		}
		time.Sleep(readyEvery)
	}
	return fmt.Errorf("fleet is not ready: %w", ctx.Err())
}

const readyEvery = 20 * time.Millisecond

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Kill()
		h.cancel()
	}
	f.running.Wait()
	for _, s := range f.servers {
		s.Close()
	}
	for _, e := range f.Engines {
		e.Reset()
	}
}
