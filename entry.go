package citronpier

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/enforcer"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/gossiper"
	"github.com/citronpier/citronpier/internal/uptime"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/navigator"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/relayer"
	"github.com/citronpier/citronpier/watcher"
)

// An Entry is an entry host that keeps the history and the budgets of programs
// in the platform's partitioned store.
type Entry struct {
	config EntryConfig
	// incarnation identifies this run of the host and is never reused.
	incarnation string
	started     time.Time
	// lastDeadline is set once a planned stop has begun: requests with a later deadline are
	// refused, as the host would abort them.
	lastDeadline atomic.Pointer[time.Time]
	// peersKnown is true once the host has had time to receive the answers of
	// the other hosts. Before that, the host would compute that it is the home of
	// every shard.
	peersKnown atomic.Bool
	// active is the number of requests being served. lastRequest is when the last
	// request arrived, in Unix nanoseconds.
	active      atomic.Int64
	lastRequest atomic.Int64

	counters  counter.Set
	tracker   forwarder.UpstreamTracker
	relayer   *relayer.Relayer
	watcher   *watcher.Watcher
	gossiper  *gossiper.Gossiper
	keeper    *keeper.Keeper
	navigator *navigator.Navigator
	exchanger *exchanger.Exchanger
	isolator  *isolator.Isolator
	forwarder *forwarder.Forwarder
	admission admission
	peers     peerClients
	members   memberCache
	// allowances has the credits of organisations.
	allowances *allowances
	// background is the context of all background work. Run calls cancel when it
	// returns.
	background context.Context
	cancel     context.CancelFunc
}

// NewEntry returns an Entry, which Run starts.
func NewEntry(c EntryConfig) *Entry {
	if c.Grace == 0 {
		c.Grace = defaultGrace
	}
	e := &Entry{config: c, incarnation: rand.Text(), started: time.Now(), isolator: isolator.New(crashPolicy)}
	e.background, e.cancel = context.WithCancel(context.Background())
	e.config.Logger = c.Logger.With().Str("host", c.Host.ID).Logger()
	e.relayer = relayer.New(relayer.Config{
		Direct: c.Store, Relays: e.relays, Counters: &e.counters, Logger: e.config.Logger,
	})
	e.watcher = watcher.New(watcher.Config{
		Store:          e.relayer,
		Decoder:        c.Codec,
		Configurations: c.Configurations,
		Upstreams:      c.Upstreams,
		Changed:        e.announceChange,
		MaxAge:         c.Revocation,
		Counters:       &e.counters,
		Logger:         e.config.Logger,
	})
	e.gossiper = gossiper.New(gossiper.Config{
		Conn: c.Gossip, Self: e.member, Running: e.running, Demands: e.demands, Crashes: e.crashStore(),
		Changed: e.membersChanged, Logger: e.config.Logger,
	}, e.started)
	e.navigator = navigator.New(navigator.Config{
		Self: c.Host.ID, View: e.homes, Live: e.hostAlive, Open: e.homeClient, Counters: &e.counters, Logger: e.config.Logger,
	})
	e.keeper = keeper.New(e.background, keeper.Config{
		Incarnation:    e.incarnation,
		Store:          e.relayer,
		Partitions:     c.Shards,
		RecordBytes:    c.RecordBytes,
		CallBytes:      c.CallBytes,
		Retention:      c.Retention,
		MemoryBytes:    c.TurnBytes,
		Home:           e.navigator.IsHome,
		StoreReachable: e.relayer.Available,
		Unavailable:    e.relayer.Unavailable,
		Search:         e.navigator.Search,
		Counters:       &e.counters,
		Logger:         e.config.Logger,
	})
	e.exchanger = exchanger.New(c.Codec, dialOr(c.Dial, exchanger.UnackedUpstream)).WithMemory(c.Memory)
	e.peers.dial, e.peers.memory = dialOr(c.Dial, exchanger.UnackedPeer), c.Memory
	e.allowances = newAllowances(allowancesConfig{
		Self: c.Host.ID, Run: e.incarnation, Bounds: c.Allowances,
		Organisations: func() descriptor.Organisations { return e.watcher.Configuration().Organisations },
		Hosts:         e.homes, Open: e.allowanceHome, Uptime: uptime.Now, Background: e.background, Logger: e.config.Logger,
	})
	e.counters.Gauge("organisations", e.allowances.metrics)
	e.forwarder = e.newForwarder()
	e.exposeMemory()
	return e
}

// newForwarder returns the Forwarder of the host. All other parts of the host are there already.
func (e *Entry) newForwarder() *forwarder.Forwarder {
	c := e.config
	return forwarder.New(forwarder.Config{
		DataCentre:       c.Host.DataCentre,
		ConfigurationAge: e.watcher.ConfigurationAge,
		Authentication:   authenticationPolicy(c.Revocation),
		Allowances:       e.allowances,
		Shards:           len(c.Shards),
		Configuration:    e.watcher.Configuration,
		Upstreams:        e.watcher.List,
		RemoteLoads:      e.remoteLoads,
		RemoteDemand:     e.remoteDemand,
		Drain:            c.Drain,
		LastDeadline:     e.latestDeadline,
		Isolator:         e.isolator,
		ReportCrash:      e.reportCrash,
		Admission:        &e.admission.admitter,
		AdmissionActive:  e.admission.active.Load,
		Memory:           c.Memory,
		ChainBytes:       c.ChainBytes,
		LargeTurns:       largeTurns(c.TurnBytes),
		Homes:            e.navigator,
		Exchanger:        e.exchanger,
		Tracker:          &e.tracker,
		Counters:         &e.counters,
		Logger:           e.config.Logger,
		Background:       e.background,
	})
}

// dialOr returns dial if it is not nil. Otherwise it returns a Dial whose
// connections fail when sent bytes stay unacknowledged for the given time.
func dialOr(dial connector.Dial, unacked time.Duration) connector.Dial {
	if dial != nil {
		return dial
	}
	return exchanger.NewDial(unacked)
}

// Endpoint is a listener that an Entry serves with a handler.
type Endpoint struct {
	Listener net.Listener
	Handler  http.Handler
	// Callers is true if the requests come from callers. A planned stop waits for
	// these requests.
	Callers bool
}

const (
	// headerTimeout bounds the time that a client takes to send the header of a
	// request. Operators may set a shorter limit for callers, never a longer one.
	headerTimeout = 15 * time.Second
	// idleTimeout bounds how long a connection may be idle. Operators may set a
	// shorter limit for callers, never a longer one.
	idleTimeout = 2 * time.Minute
)

// Run serves the endpoints until ctx ends and then stops gracefully, within the
// configured grace period. It returns an error if a server or a background task
// fails.
func (e *Entry) Run(ctx context.Context, endpoints ...Endpoint) error {
	defer e.cancel()
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
			endpoint.Listener = enforcer.Listener{
				Listener: endpoint.Listener, Limits: e.connectionLimits, Connections: e.config.Connections, Backlogs: e.config.Backlogs,
			}
			s.ConnState = enforcer.ConnState
			callers = append(callers, s)
		} else {
			others = append(others, s)
		}
		group.Go(func() error { return ignoreClosed(s.Serve(endpoint.Listener)) })
	}
	for _, task := range []func(context.Context) error{
		e.gossiper.Run, e.watcher.RunConfiguration, e.watcher.RunUpstreams, e.followHosts, e.runMaintenance, e.confirmCrashes, e.allowances.run,
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
		e.cancel()
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

// Serve handles one request of a caller, writes the response to sink and returns
// how the request ended.
func (e *Entry) Serve(ctx context.Context, r descriptor.Request, sink forwarder.Sink, now time.Time) forwarder.Outcome {
	e.active.Add(1)
	defer e.active.Add(-1)
	e.lastRequest.Store(now.UnixNano())
	e.counters.Reached(counter.StageReceived)
	return e.forwarder.Serve(ctx, r, sink, now)
}

// CountRefused counts and logs a request that was refused before it was decoded.
func (e *Entry) CountRefused(id string, r *refuser.Refusal) {
	e.counters.Refused(r.Reason)
	e.config.Logger.Info().Str("id", id).Str("outcome", "refused").Str("reason", string(r.Reason)).
		Str("detail", r.Message).Msg("request")
}

// defaultMaxBody is the maximum size of a request body, in bytes, if the
// configuration sets none.
const defaultMaxBody = 4 << 20

// Limits returns the limits of a request's size and time.
func (e *Entry) Limits() descriptor.Limits {
	limits := e.watcher.Configuration().Limits
	if limits.Body <= 0 {
		limits.Body = defaultMaxBody
	}
	return limits
}

// connectionLimits returns the configured time limits of callers' connections.
func (e *Entry) connectionLimits() enforcer.Limits {
	limits := e.watcher.Configuration().Limits
	return enforcer.Limits{Header: limits.HeaderTime, Idle: limits.Idle, HeaderBytes: limits.Header}
}

// Ready reports whether the host accepts requests: it has read the upstreams
// and a configuration, knows the other hosts and is not stopping.
func (e *Entry) Ready() bool {
	_, listed := e.watcher.List()
	return listed && e.peersKnown.Load() && e.watcher.Configuration().Version > 0 && !e.Stopping()
}

// announceChange is called when the configuration, the upstreams or the readiness
// of this host has changed. It sends news at once, so that the other hosts
// learn of the change.
func (e *Entry) announceChange() {
	e.members.invalidate()
	e.gossiper.Publish(time.Now())
}
