package launcher

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/standin"
)

// Keys shared by every host of a fleet: tokenKey signs program tokens, peerKey
// authenticates hosts to each other.
const (
	tokenKey = "launcher-token-key-launcher"
	peerKey  = "launcher-peer-key"
)

// Network opens connections and listeners for the hosts and fakes of a fleet.
type Network struct {
	// Dial opens a connection, as net.Dialer.DialContext does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens a listener at an address that Address returned.
	Listen func(address string) (net.Listener, error)
	// Address returns the listen address of the n-th listener, counted from 1.
	Address func(n int) string
}

// Loopback returns a network on 127.0.0.1 with ports chosen by the kernel.
func Loopback() Network {
	return Network{
		Dial:    dialer.NewDial(),
		Listen:  standin.Listen,
		Address: func(int) string { return "127.0.0.1:0" },
	}
}

// Config describes a fleet.
type Config struct {
	Network Network
	// DataCentres are assigned to hosts and upstreams round-robin. It must not
	// be empty.
	DataCentres []string
	Hosts       int
	Engines     int
	// Engine configures every engine; Start sets its ID.
	Engine standin.EngineConfig
	// Model is the one model that every engine serves.
	Model string
	// Services names the services that run no model. Each has one upstream.
	Services []string
	// Rules is the text of the rule file to publish; none is published if empty.
	Rules string
	// ListLag is the delay after which the service-discovery list shows a change.
	ListLag time.Duration
	// ListExpiry is how long the service-discovery list shows a host after its last
	// announcement; 0 means forever.
	ListExpiry time.Duration
	Logger     zerolog.Logger
	// Options are passed to each host after the options that the launcher sets,
	// and may override them.
	Options []citronpier.Option
	// DrainPeriod is how long a stopping host continues to accept and forward
	// calls.
	DrainPeriod time.Duration
	// DrainTimeout bounds how long a stopping host waits for its running calls.
	DrainTimeout time.Duration
}

// Fleet is a running set of hosts and the fakes that they depend on.
type Fleet struct {
	Log *standin.Log
	// List is the service-discovery list.
	List    *standin.List
	Engines []*Engine
	// Services maps the names in Config.Services to the running services.
	Services map[string]*Service
	// Hosts holds every host ever started, including stopped and killed hosts.
	Hosts []*Host

	config      Config
	logAddress  string
	listAddress string
	// ports counts the addresses that nextAddress has returned.
	ports   int
	servers []*standin.Server
	running sync.WaitGroup
}

// Engine is a running fake of a model engine.
type Engine struct {
	*standin.Engine
	Server   *standin.Server
	Upstream descriptor.Upstream
}

// Service is a running fake of a service that runs no model.
type Service struct {
	*standin.Service
	Server   *standin.Server
	Upstream descriptor.Upstream
}

// Start starts the fakes, publishes the rules and starts the hosts, without
// waiting until the hosts are ready. If it returns an error, the fakes and
// hosts that it has already started are not stopped.
func Start(c Config) (*Fleet, error) {
	f := &Fleet{Log: &standin.Log{}, List: &standin.List{Lag: c.ListLag, Expire: c.ListExpiry}, Services: make(map[string]*Service), config: c}
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	if err := f.startUpstreams(); err != nil {
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

// LogAddress returns the address at which the fake of the log listens.
func (f *Fleet) LogAddress() string { return f.logAddress }

// ListAddress returns the address at which the fake of the service-discovery
// list listens.
func (f *Fleet) ListAddress() string { return f.listAddress }

// startPlatform starts the fakes of the append log and of the service-discovery
// list.
func (f *Fleet) startPlatform() error {
	log, err := f.startServer(f.Log.Handler())
	if err != nil {
		return err
	}
	list, err := f.startServer(f.List.Handler())
	if err != nil {
		return err
	}
	f.logAddress, f.listAddress = log.Address(), list.Address()
	return nil
}

// startServer serves a handler at the next address until the fleet is closed.
func (f *Fleet) startServer(handler http.Handler) (*standin.Server, error) {
	s, err := standin.NewServer(f.nextAddress(), handler, f.config.Network.Listen)
	if err != nil {
		return nil, fmt.Errorf("start server of a fake: %w", err)
	}
	f.servers = append(f.servers, s)
	return s, nil
}

func (f *Fleet) nextAddress() string {
	f.ports++
	return f.config.Network.Address(f.ports)
}

func (f *Fleet) dataCentre(i int) string { return f.config.DataCentres[i%len(f.config.DataCentres)] }

func (f *Fleet) standinEngines() []*standin.Engine {
	list := make([]*standin.Engine, len(f.Engines))
	for i, e := range f.Engines {
		list[i] = e.Engine
	}
	return list
}

// engineDowntime is how long a crashed engine refuses connections.
const engineDowntime = 500 * time.Millisecond

// startUpstreams starts the engines and services and registers each in the
// service-discovery list. An engine that crashes restarts after engineDowntime.
func (f *Fleet) startUpstreams() error {
	for i := range f.config.Engines {
		config := f.config.Engine
		config.ID = fmt.Sprintf("engine-%d", i+1)
		e := &Engine{Engine: standin.NewEngine(config)}
		s, err := f.startServer(e.Handler())
		if err != nil {
			return err
		}
		e.Server = s
		e.OnCrash(func() { go restartServer(s) })
		e.Upstream = descriptor.Upstream{
			ID: config.ID, Address: s.Address(), DataCentre: f.dataCentre(i),
			Models: []string{f.config.Model}, Slots: config.Slots,
		}
		f.Engines = append(f.Engines, e)
		e.SetPeers(f.standinEngines)
		f.List.SetUpstream(e.Upstream, time.Now())
	}
	for i, name := range f.config.Services {
		if err := f.startService(i, name); err != nil {
			return err
		}
	}
	return nil
}

// restartServer stops the server of a crashed engine and starts it again after
// engineDowntime.
func restartServer(s *standin.Server) {
	s.Stop()
	time.Sleep(engineDowntime)
	_ = s.Start()
}

// serviceSlots is the concurrency limit that each service announces.
const serviceSlots = 16

// startService starts the i-th service and registers its upstream in the
// service-discovery list.
func (f *Fleet) startService(i int, name string) error {
	v := &Service{Service: &standin.Service{Work: 2 * time.Millisecond}}
	s, err := f.startServer(v.Handler())
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

// Callers returns the addresses at which the hosts serve callers, including the
// addresses of stopped and killed hosts.
func (f *Fleet) Callers() []string {
	list := make([]string, len(f.Hosts))
	for i, h := range f.Hosts {
		list[i] = h.Caller
	}
	return list
}

// Publish appends a rule file to the log and returns its version. Base is the
// version that the file was edited from.
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

// Ready waits until every host accepts calls and sees all others as live. It
// returns an error if ctx ends first.
func (f *Fleet) Ready(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := true
		for _, h := range f.Hosts {
			ready = ready && h.Node.Ready() && h.Node.Peers() >= len(f.Hosts)-1
		}
		if ready {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return fmt.Errorf("fleet is not ready: %w", ctx.Err())
}

// readyPollInterval is the interval at which Ready checks the hosts.
const readyPollInterval = 20 * time.Millisecond

// Close kills every host, waits until all have ended and stops the fakes.
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
