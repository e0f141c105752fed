package citronpier

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/router"
	"github.com/citronpier/citronpier/scheduler"
)

// An Option sets one property of a Host.
type Option func(*settings)

// settings holds the values that options set.
type settings struct {
	self           descriptor.Host
	tokenKeys      [][]byte
	peerKey        string
	log            connector.Log
	list           connector.List // the service-discovery list
	engine         connector.Engine
	service        connector.Service
	dial           connector.Dial
	peers          connector.Peers
	callerListener net.Listener
	peerListener   net.Listener
	clock          func() time.Time
	wallClock      func() time.Time
	logger         zerolog.Logger
	drainTimeout   time.Duration
	drainPeriod    time.Duration
	maxBody        int64
	memory         int64
	routing        router.Policy
	order          scheduler.Discipline
}

const (
	// defaultDrainTimeout bounds how long a stopping host waits for running calls.
	defaultDrainTimeout = 2 * time.Minute
	// defaultDrainPeriod is how long a stopping host still accepts and forwards
	// calls. Callers may use a host's address for up to 5 s without requesting
	// the list of hosts again.
	defaultDrainPeriod = 6 * time.Second
)

// WithHost sets the host's name, the addresses at which other hosts and callers
// reach it, and its data centre.
func WithHost(h descriptor.Host) Option { return func(s *settings) { s.self = h } }

// WithTokenKeys sets the keys that sign program tokens. New tokens are signed
// with the first key. Tokens signed with any of the keys are accepted, so that
// keys can be replaced one after the other.
func WithTokenKeys(keys ...[]byte) Option { return func(s *settings) { s.tokenKeys = keys } }

// WithPeerKey sets the secret with which hosts authenticate their requests to
// each other.
func WithPeerKey(key string) Option { return func(s *settings) { s.peerKey = key } }

// WithLog sets the client of the platform's log, where the host keeps its
// state.
func WithLog(l connector.Log) Option { return func(s *settings) { s.log = l } }

// WithList sets the client of the platform's service-discovery list, which
// names the hosts and upstreams.
func WithList(l connector.List) Option { return func(s *settings) { s.list = l } }

// WithEngine sets the client that sends calls to model engines. The default
// uses HTTP.
func WithEngine(e connector.Engine) Option { return func(s *settings) { s.engine = e } }

// WithService sets the client that sends calls to plain services, which run no
// model. The default uses HTTP.
func WithService(v connector.Service) Option { return func(s *settings) { s.service = v } }

// WithPeers sets the client that sends requests to other hosts. The default
// uses HTTP and the key of WithPeerKey.
func WithPeers(p connector.Peers) Option { return func(s *settings) { s.peers = p } }

// WithDial sets the function that opens connections to upstreams and other
// hosts. Clients that another option sets don't use it.
func WithDial(dial connector.Dial) Option { return func(s *settings) { s.dial = dial } }

// WithListeners sets the listeners for the connections of callers and of other
// hosts.
func WithListeners(caller, peer net.Listener) Option {
	return func(s *settings) { s.callerListener, s.peerListener = caller, peer }
}

// WithClock sets the clock for timeouts, ages and all other decisions. Its
// times must carry a monotonic reading, so that a step of the machine's clock
// changes no decision. The default is time.Now.
func WithClock(clock func() time.Time) Option { return func(s *settings) { s.clock = clock } }

// WithWallClock sets the clock for dates and times of day. This clock determines
// only on which day a call is counted. The default is time.Now.
func WithWallClock(wallClock func() time.Time) Option {
	return func(s *settings) { s.wallClock = wallClock }
}

// WithLogger sets the logger of the host. By default it logs nothing.
func WithLogger(l zerolog.Logger) Option { return func(s *settings) { s.logger = l } }

// WithDrainTimeout bounds how long a stopping host waits for running calls. The
// default is 2 minutes.
func WithDrainTimeout(d time.Duration) Option { return func(s *settings) { s.drainTimeout = d } }

// WithDrainPeriod sets the drain period: how long a stopping host still accepts
// calls and forwards them to other hosts. The default is 6 s.
func WithDrainPeriod(d time.Duration) Option { return func(s *settings) { s.drainPeriod = d } }

// WithRouting sets the policy that chooses the upstream of a call. The default
// is router.LeastCost.
func WithRouting(p router.Policy) Option { return func(s *settings) { s.routing = p } }

// WithDiscipline sets the order in which the calls queued at an upstream are
// sent. The default is scheduler.Fair.
func WithDiscipline(d scheduler.Discipline) Option { return func(s *settings) { s.order = d } }

// WithMaxBody bounds a request body, in bytes. The default is
// server.DefaultMaxBody.
func WithMaxBody(n int64) Option { return func(s *settings) { s.maxBody = n } }

// WithMemory sets the memory of the process, in bytes, from which the parts for callers' bodies,
// connections and slow readers are derived. The default is allocator.DefaultMemory.
func WithMemory(bytes int64) Option { return func(s *settings) { s.memory = bytes } }
