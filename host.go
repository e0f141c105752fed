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

	"github.com/citronpier/citronpier/arbiter"
	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/committer"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/coordinator"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/dispatcher"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/replayer"
	"github.com/citronpier/citronpier/reporter"
	"github.com/citronpier/citronpier/sequencer"
)

// stateStream is the log stream that holds budgets, idempotency keys, summaries
// and records of the requests that crashed upstreams.
const stateStream = "state"

// The hooks of a replayer apply each record in the order of their priorities,
// the lowest first. priorityRules is for the stream of rule files, the others
// are for stateStream. The coordinator comes last, so that the other hooks have
// stored a record before the coordinator acts on it.
const (
	priorityBudgets     = 100
	priorityKeys        = 200
	priorityIsolator    = 300
	prioritySummaries   = 400
	priorityCoordinator = 500
	priorityRules       = 100
)

// crashesToRefuse is the number of upstreams that a request may crash before it is refused.
const crashesToRefuse = 2

// A Host is an entry host that keeps its state in the platform's log.
type Host struct {
	settings settings
	// incarnation identifies this run of the host and is never reused.
	incarnation string
	counters    counter.Set
	reporter    reporter.Reporter
	publisher   publisher.Ledger
	budgets     budgeter.Ledger
	keys        arbiter.Ledger
	summaries   reporter.Ledger
	members     memberTable
	leaving     atomic.Bool
	// abandoned is closed by Abandon. Run then returns without a graceful stop.
	abandoned chan struct{}
	abandon   sync.Once

	state       *replayer.Replayer
	rules       *replayer.Replayer
	committer   *committer.Committer
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
	callers     *http.Server
	peers       *http.Server
	// callerListener bounds what callers' connections take.
	callerListener net.Listener
}

// New returns a Host that Run starts. The options WithHost, WithTokenKeys,
// WithPeerKey, WithLog, WithList and WithListeners are required. New fails if
// the token keys are not valid.
func New(options ...Option) (*Host, error) {
	h := &Host{incarnation: rand.Text(), abandoned: make(chan struct{})}
	h.settings = settings{
		clock:        time.Now,
		wallClock:    time.Now,
		logger:       zerolog.Nop(),
		drainTimeout: defaultDrainTimeout,
		drainPeriod:  defaultDrainPeriod,
		dial:         dialer.NewDial(),
	}
	for _, o := range options {
		o(&h.settings)
	}
	h.settings.setDefaultClients(&h.counters)
	h.settings.logger = h.settings.logger.With().Str("host", h.settings.self.ID).Logger()
	if err := h.createComponents(); err != nil {
		return nil, err
	}
	return h, nil
}

// setDefaultClients creates the clients of services, model engines and other
// hosts that no option has set.
func (s *settings) setDefaultClients(counters *counter.Set) {
	if s.service == nil {
		s.service = dialer.NewService(s.dial)
	}
	if s.engine == nil {
		s.engine = dialer.NewEngine(s.dial, func() { counters.Dropped.Add("crossed", 1) })
	}
	if s.peers == nil {
		s.peers = dialer.NewPeers(s.peerKey, s.dial)
	}
}

// createComponents creates the parts of the host and connects them.
func (h *Host) createComponents() error {
	signer, err := sequencer.NewSigner(h.settings.tokenKeys...)
	if err != nil {
		return fmt.Errorf("token keys: %w", err)
	}
	crashes := isolator.New(isolator.Policy{Crashes: crashesToRefuse})
	h.createReplayers(crashes)
	h.committer = committer.New(h.settings.log, h.state, stateStream, h.incarnation, h.settings.logger)
	h.dispatcher = dispatcher.New(dispatcher.Config{
		Engine:           h.settings.engine,
		Service:          h.settings.service,
		Members:          func() descriptor.Members { return h.members.view().Members() },
		Refresh:          h.refreshMembers,
		MembershipStable: h.settled,
		IsHome:           h.isUpstreamHome,
		Order:            h.settings.order,
		Rules:            h.publisher.Rules,
		Clock:            h.settings.clock,
		Counters:         &h.counters,
		Logger:           h.settings.logger,
	})
	h.coordinator = coordinator.New(coordinator.Config{
		Self:        h.settings.self,
		Incarnation: h.incarnation,
		Clock:       h.settings.clock,
		WallClock:   h.settings.wallClock,
		Rules:       h.publisher.Rules,
		View:        h.members.view,
		Yield:       h.askYield,
		Suspect:     h.suspect,
		Dispatch:    h.dispatch,
		Engine:      h.settings.engine,
		Routing:     h.settings.routing,
		Signer:      signer,
		Committer:   h.committer,
		Replica:     h.state,
		Budgets:     &h.budgets,
		Keys:        &h.keys,
		Isolator:    crashes,
		Counters:    &h.counters,
		Reporter:    &h.reporter,
		Logger:      h.settings.logger,
	})
	h.state.AddHook(replayer.Prioritized{Hook: h.coordinator, Priority: priorityCoordinator})
	return h.createServers(signer)
}

// createReplayers creates the replicas of the two log streams.
func (h *Host) createReplayers(crashes *isolator.Isolator) {
	h.state = replayer.New(
		h.settings.log, stateStream, h.settings.clock, h.settings.logger,
		replayer.Prioritized{Hook: &h.budgets, Priority: priorityBudgets},
		replayer.Prioritized{Hook: &h.keys, Priority: priorityKeys},
		replayer.Prioritized{Hook: crashes, Priority: priorityIsolator},
		replayer.Prioritized{Hook: &h.summaries, Priority: prioritySummaries},
	)
	h.rules = replayer.New(
		h.settings.log, publisher.Stream, h.settings.clock, h.settings.logger,
		replayer.Prioritized{Hook: &h.publisher, Priority: priorityRules},
	)
}

// createServers creates the HTTP servers for callers and for other hosts.
func (h *Host) createServers(signer *sequencer.Signer) error {
	if err := h.createCallerServer(signer); err != nil {
		return err
	}
	h.peers = messenger.NewServer(messenger.NewHandler(
		h.settings.peerKey, (*peerCommands)(h), (*peerQueries)(h), (*peerStreams)(h),
	))
	return nil
}

// closeConnectionsWhenLeaving adds "Connection: close" to the responses of a
// stopping host. Otherwise the host could close a kept-alive connection just
// when the caller sends its next request on it.
func (h *Host) closeConnectionsWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Run serves callers and other hosts until ctx ends and then stops gracefully:
// running calls may finish, for at most the time set by WithDrainTimeout. After
// Abandon it returns without waiting for them. It returns an error if a server
// or a background task fails.
func (h *Host) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	for _, task := range []func(context.Context) error{
		h.state.Run, h.rules.Run, h.committer.Run, h.coordinator.Run,
		h.followMembers, h.followLoads, h.followRules, h.summarise,
	} {
		group.Go(func() error { return task(background) })
	}
	group.Go(func() error { return ignoreClosed(h.peers.Serve(h.settings.peerListener)) })
	group.Go(func() error { return ignoreClosed(h.callers.Serve(h.callerListener)) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			h.stop(background)
		case <-h.abandoned:
		case <-background.Done():
		}
		_ = h.callers.Close()
		_ = h.peers.Close()
		stop()
		return nil
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("host %s: %w", h.settings.self.ID, err)
	}
	return nil
}

// Abandon ends the host at once, without draining it. To other hosts this looks
// like a crash of the process.
func (h *Host) Abandon() { h.abandon.Do(func() { close(h.abandoned) }) }

// Ready reports whether the host accepts calls: it has rules and is not
// stopping.
func (h *Host) Ready() bool { return (*queries)(h).Status().Ready }

// Peers returns the number of other hosts that the service-discovery list shows
// as live and that have not failed a request recently.
func (h *Host) Peers() int { return len(h.livePeers()) }

// ignoreClosed returns nil for the errors that a server returns after it was
// closed, and any other error unchanged.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

var (
	_ connector.Frames = (*messenger.Stream)(nil)
	_ connector.Frames = (*messenger.Pipe)(nil)
)

// Programs returns the number of running programs that the host is home of.
func (h *Host) Programs() int { return h.coordinator.Programs() }

// Rules returns the rules in force on the host. Their version is 0 before the
// host has read any.
func (h *Host) Rules() parser.Rules { return h.publisher.Rules() }

// Page returns today's report for the owner of the deployment.
func (h *Host) Page() reporter.Page { return (*queries)(h).Page() }

// Live reports whether the host is neither stopping nor abandoned.
func (h *Host) Live() bool {
	select {
	case <-h.abandoned:
		return false
	default:
		return !h.leaving.Load()
	}
}
