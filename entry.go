package citronpier

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/enforcer"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/gossiper"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/navigator"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/relayer"
	"github.com/citronpier/citronpier/watcher"
)

// Codec reads and writes the records and headers of a platform.
type Codec interface {
	watcher.Decoder
	exchanger.Codec
	// Join returns a keyed record; no value drops the key.
	Join(key string, value []byte) []byte
}

// EntryConfig is what an Entry is made of. All fields but Dial and Grace are
// needed.
type EntryConfig struct {
	// Host has the peer address as its ID.
	Host descriptor.Host
	// Seeds are peer addresses of hosts that may be up.
	Seeds []string
	// Store is the platform's store.
	Store connector.Store
	// Shards are the partitions of programs, the same at all hosts.
	Shards []connector.Partition
	// RecordBytes is the largest record of the store.
	RecordBytes int
	// Retention is how long the store keeps records; 0 is for ever.
	Retention time.Duration
	Codec     Codec
	// Configurations, Upstreams and Hosts are the keyed partitions of those.
	Configurations connector.Partition
	Upstreams      connector.Partition
	Hosts          connector.Partition
	// Beats sends and receives heartbeats at the peer address.
	Beats net.PacketConn
	// Dial opens connections to upstreams and other hosts; nil is the usual way.
	Dial connector.Dial
	// Grace is how long a planned stop may take; 0 is the usual time.
	Grace  time.Duration
	Logger zerolog.Logger
}

// An Entry is one host of a deployment whose store keeps the history and the
// budgets of programs.
type Entry struct {
	config      EntryConfig
	incarnation string
	started     time.Time
	leaving     atomic.Bool
	// acquainted says that the host knows the others: before, it would take
	// itself for home of every shard.
	acquainted atomic.Bool
	// active counts the requests under way, and served is when the last one
	// came, in Unix nanoseconds.
	active atomic.Int64
	served atomic.Int64

	counters  counter.Set
	board     forwarder.Board
	relayer   *relayer.Relayer
	watcher   *watcher.Watcher
	gossiper  *gossiper.Gossiper
	keeper    *keeper.Keeper
	navigator *navigator.Navigator
	exchanger *exchanger.Exchanger
	forwarder *forwarder.Forwarder
	peers     peerClients
	members   memberCache
	// background ends when the host does.
	background context.Context
	end        context.CancelFunc
}

// defaultGrace is the time of a planned stop where none is set.
const defaultGrace = 8 * time.Second

// NewEntry returns an Entry.
func NewEntry(c EntryConfig) *Entry {
	if c.Grace == 0 {
		c.Grace = defaultGrace
	}
	e := &Entry{config: c, incarnation: rand.Text(), started: time.Now()}
	e.background, e.end = context.WithCancel(context.Background())
	e.config.Logger = c.Logger.With().Str("host", c.Host.ID).Logger()
	e.relayer = relayer.New(relayer.Config{
		Direct: c.Store, Relays: e.relays, Counters: &e.counters, Logger: e.config.Logger,
	})
	e.watcher = watcher.New(watcher.Config{
		Store:          e.relayer,
		Decoder:        c.Codec,
		Configurations: c.Configurations,
		Upstreams:      c.Upstreams,
		Changed:        e.changed,
		Counters:       &e.counters,
		Logger:         e.config.Logger,
	})
	e.gossiper = gossiper.New(gossiper.Config{
		Address: c.Host.Peer,
		Conn:    c.Beats, Self: e.beat, Changed: e.peersChanged, Logger: e.config.Logger,
	})
	e.navigator = navigator.New(navigator.Config{
		Self: c.Host.ID, View: e.homes, Live: e.live, Open: e.home, Counters: &e.counters, Logger: e.config.Logger,
	})
	e.keeper = keeper.New(e.background, keeper.Config{
		Incarnation: e.incarnation,
		Store:       e.relayer,
		Partitions:  c.Shards,
		RecordBytes: c.RecordBytes,
		Retention:   c.Retention,
		Home:        e.navigator.IsHome,
		Stored:      e.relayer.Available,
		Away:        e.relayer.Away,
		Search:      e.navigator.Search,
		Counters:    &e.counters,
		Logger:      e.config.Logger,
	})
	e.exchanger = exchanger.New(c.Codec, dialOr(c.Dial, exchanger.UnackedUpstream))
	e.peers.dial = dialOr(c.Dial, exchanger.UnackedPeer)
	e.forwarder = forwarder.New(forwarder.Config{
		DataCentre:    c.Host.DataCentre,
		Shards:        len(c.Shards),
		Configuration: e.watcher.Configuration,
		Upstreams:     e.watcher.List,
		Others:        e.othersLoads,
		Homes:         e.navigator,
		Exchanger:     e.exchanger,
		Board:         &e.board,
		Counters:      &e.counters,
		Logger:        e.config.Logger,
		Background:    e.background,
	})
	return e
}

// dialOr returns a Dial, or the usual one where there is none.
func dialOr(dial connector.Dial, unacked time.Duration) connector.Dial {
	if dial != nil {
		return dial
	}
	return exchanger.NewDial(unacked)
}

// Endpoint is an address that an Entry serves.
type Endpoint struct {
	Listener net.Listener
	Handler  http.Handler
	// Callers says that the requests are those of callers, which a planned stop
	// waits for.
	Callers bool
}

const (
	// headerTimeout bounds the time a caller takes to send its header. It is
	// above any limit that operators set.
	headerTimeout = 15 * time.Second
	// idleTimeout bounds an idle connection, above any limit that operators set.
	idleTimeout = 2 * time.Minute
)

// Run serves until ctx ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context, endpoints ...Endpoint) error {
	defer e.end()
	group, background := errgroup.WithContext(e.background)
	var callers, others []*http.Server
	for _, endpoint := range endpoints {
		s := &http.Server{
			Handler:           endpoint.Handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			ErrorLog:          newErrorLog(e.config.Logger),
		}
		if endpoint.Callers {
			endpoint.Listener = enforcer.Listener{Listener: endpoint.Listener, Limits: e.times}
			s.ConnState = enforcer.State
			callers = append(callers, s)
		} else {
			others = append(others, s)
		}
		group.Go(func() error { return served(s.Serve(endpoint.Listener)) })
	}
	for _, task := range []func(context.Context) error{
		e.gossiper.Run, e.watcher.RunConfiguration, e.watcher.RunUpstreams, e.followHosts, e.tick,
	} {
		group.Go(func() error { return task(background) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.stop(callers)
		case <-background.Done():
		}
		for _, s := range append(callers, others...) {
			_ = s.Close()
		}
		e.end()
		e.exchanger.Close()
		e.peers.close()
		return nil
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("host %s: %w", e.config.Host.ID, err)
	}
	e.config.Logger.Info().Dur("up_ms", time.Since(e.started)).Msg("stopped")
	return nil
}

const (
	// stopMargin is left of the grace when the last requests are given up.
	stopMargin = 400 * time.Millisecond
	// lingerLeast is how long a stopping host takes new connections of callers
	// that keep its address: somewhat longer than the directory's answers last.
	lingerLeast = 2500 * time.Millisecond
	// lingerQuiet is how long no request has to come before the host closes.
	lingerQuiet = time.Second
	// closingShare is the part of the grace, as a divisor, that is kept for the
	// last requests.
	closingShare = 4
)

// stop is a planned stop: the host is named to no one any more, takes what
// still comes, and finishes what it has.
func (e *Entry) stop(callers []*http.Server) {
	began := time.Now()
	e.leaving.Store(true)
	e.config.Logger.Info().Int64("active", e.active.Load()).Msg("stopping")
	e.members.invalidate()
	e.gossiper.Send()
	go e.withdraw(e.background)
	e.keeper.Release()
	e.linger(began)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(e.config.Grace-stopMargin))
	defer cancel()
	for _, s := range callers {
		if err := s.Shutdown(ctx); err != nil {
			e.config.Logger.Warn().Err(err).Int64("active", e.active.Load()).Msg("stop cut requests")
		}
	}
	for e.active.Load() > 0 && ctx.Err() == nil {
		waiter.Sleep(ctx, lingerStep)
	}
}

// lingerStep is the time between looks at whether requests still come.
const lingerStep = 50 * time.Millisecond

// linger waits until callers have stopped coming.
func (e *Entry) linger(began time.Time) {
	for !e.lingered(began, time.Now()) {
		time.Sleep(lingerStep)
	}
}

// lingered reports whether a stop that began at a time has waited enough.
func (e *Entry) lingered(began, now time.Time) bool {
	past := now.Sub(began)
	quiet := now.UnixNano()-e.served.Load() > int64(lingerQuiet) && e.active.Load() == 0
	return past >= e.config.Grace-e.config.Grace/closingShare || (past >= lingerLeast && quiet)
}

// Serve takes one request of a caller.
func (e *Entry) Serve(ctx context.Context, r descriptor.Request, sink forwarder.Sink, now time.Time) forwarder.Outcome {
	e.active.Add(1)
	defer e.active.Add(-1)
	e.served.Store(now.UnixNano())
	e.counters.Reached(counter.StageReceived)
	return e.forwarder.Serve(ctx, r, sink, now)
}

// Refused counts a request that was refused before it was decoded.
func (e *Entry) Refused(id string, r *refuser.Refusal) {
	e.counters.Refused(r.Reason)
	e.config.Logger.Info().Str("id", id).Str("outcome", "refused").Str("reason", string(r.Reason)).
		Str("detail", r.Message).Msg("request")
}

// defaultBody is the largest body before a configuration is known, in bytes.
const defaultBody = 4 << 20

// Limits returns what bounds a request.
func (e *Entry) Limits() descriptor.Limits {
	limits := e.watcher.Configuration().Limits
	if limits.Body <= 0 {
		limits.Body = defaultBody
	}
	return limits
}

// times returns what bounds the time of callers' connections.
func (e *Entry) times() enforcer.Limits {
	limits := e.watcher.Configuration().Limits
	return enforcer.Limits{Header: limits.HeaderTime, Idle: limits.Idle}
}

// Closing reports whether callers are to open new connections elsewhere.
func (e *Entry) Closing() bool { return e.leaving.Load() }

// Ready reports whether the host takes requests.
func (e *Entry) Ready() bool {
	_, listed := e.watcher.List()
	return listed && e.acquainted.Load() && e.watcher.Configuration().Version > 0 && !e.leaving.Load()
}

// changed follows a change of the configuration or the upstreams.
func (e *Entry) changed() {
	e.members.invalidate()
	e.gossiper.Send()
}

const tickEvery = time.Second

// tick does what is due from time to time.
func (e *Entry) tick(ctx context.Context) error {
	var once sync.Once
	for ctx.Err() == nil {
		now := time.Now()
		e.keeper.Tick(now)
		list, listed := e.watcher.List()
		if listed {
			e.exchanger.Prune(list.Listed, now)
			e.board.Prune(list.Listed)
		}
		e.limitConnections(now)
		if e.Ready() {
			once.Do(func() {
				e.config.Logger.Info().Dur("after_ms", now.Sub(e.started)).Int("upstreams", list.Len()).Msg("ready")
			})
		}
		waiter.Sleep(ctx, tickEvery)
	}
	return nil
}

// limitConnections divides what an upstream accepts between the live hosts.
func (e *Entry) limitConnections(now time.Time) {
	hosts := max(1, len(e.callers(now).Live(now)))
	least := 0
	for _, s := range e.watcher.Configuration().Services {
		if s.Connections > 0 && (least == 0 || s.Connections < least) {
			least = s.Connections
		}
	}
	if least > 0 {
		e.exchanger.WithLimit(max(1, least/hosts))
	}
}
