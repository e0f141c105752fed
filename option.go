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

// settings is what a Host is made with.
type settings struct {
	self      descriptor.Host
	tokenKeys [][]byte
	peerKey   string
	log       connector.Log
	list      connector.List
	engine    connector.Engine
	service   connector.Service
	dial      connector.Dial
	peers     connector.Peers
	caller    net.Listener
	peer      net.Listener
	clock     func() time.Time
	wall      func() time.Time
	logger    zerolog.Logger
	drain     time.Duration
	linger    time.Duration
	maxBody   int64
	routing   router.Policy
	order     scheduler.Discipline
}

const (
	// defaultDrain bounds how long a stop waits for calls under way.
	defaultDrain = 2 * time.Minute
	// defaultLinger is how long a stopping host still forwards the calls of
	// callers that keep its address.
	defaultLinger = 6 * time.Second
)

// WithHost sets the host's name, addresses and data centre.
func WithHost(h descriptor.Host) Option { return func(s *settings) { s.self = h } }

// WithTokenKeys sets the keys of program tokens. The first one signs; all are
// accepted.
func WithTokenKeys(keys ...[]byte) Option { return func(s *settings) { s.tokenKeys = keys } }

// WithPeerKey sets the key that hosts show each other.
func WithPeerKey(key string) Option { return func(s *settings) { s.peerKey = key } }

// WithLog sets the platform's log.
func WithLog(l connector.Log) Option { return func(s *settings) { s.log = l } }

// WithList sets the platform's list of hosts and upstreams.
func WithList(l connector.List) Option { return func(s *settings) { s.list = l } }

// WithEngine sets the way to speak to model engines.
func WithEngine(e connector.Engine) Option { return func(s *settings) { s.engine = e } }

// WithService sets the way to speak to plain services.
func WithService(v connector.Service) Option { return func(s *settings) { s.service = v } }

// WithPeers sets the way to speak to other hosts.
func WithPeers(p connector.Peers) Option { return func(s *settings) { s.peers = p } }

// WithDial sets how the host connects to upstreams and other hosts.
func WithDial(dial connector.Dial) Option { return func(s *settings) { s.dial = dial } }

// WithListeners sets where callers and other hosts connect.
func WithListeners(caller, peer net.Listener) Option {
	return func(s *settings) { s.caller, s.peer = caller, peer }
}

// WithClock sets the source of the present time that decisions are made with.
// Its times must carry a monotonic reading, so that a step of the host's clock
// changes no decision.
func WithClock(clock func() time.Time) Option { return func(s *settings) { s.clock = clock } }

// WithWall sets the source of the date and time of day. They say in which day
// a call is counted and decide nothing else.
func WithWall(wall func() time.Time) Option { return func(s *settings) { s.wall = wall } }

// WithLogger sets where the host logs.
func WithLogger(l zerolog.Logger) Option { return func(s *settings) { s.logger = l } }

// WithDrain bounds how long a stop waits for calls under way.
func WithDrain(d time.Duration) Option { return func(s *settings) { s.drain = d } }

// WithLinger sets how long a stopping host still forwards calls.
func WithLinger(d time.Duration) Option { return func(s *settings) { s.linger = d } }

// WithRouting sets how upstreams are chosen.
func WithRouting(p router.Policy) Option { return func(s *settings) { s.routing = p } }

// WithDiscipline sets the order in which waiting calls are served.
func WithDiscipline(d scheduler.Discipline) Option { return func(s *settings) { s.order = d } }

// WithMaxBody bounds a request body, in bytes.
func WithMaxBody(n int64) Option { return func(s *settings) { s.maxBody = n } }
