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
	"github.com/citronpier/citronpier/server"
)

// stateStream is the log stream of budgets, keys and summaries.
const stateStream = "state"

// The order in which records are applied.
const (
	priorityBudgets = 100
	priorityKeys    = 200
	priorityPoison  = 300
	priorityPage    = 400
	priorityHome    = 500
	priorityRules   = 100
)

// A Host is one entry host.
type Host struct {
	settings    settings
	incarnation string
	counters    counter.Set
	reporter    reporter.Reporter
	publisher   publisher.Ledger
	budgets     budgeter.Ledger
	keys        arbiter.Ledger
	summaries   reporter.Ledger
	members     memberTable
	leaving     atomic.Bool
	// abandoned is closed when the host is to end without a graceful stop.
	abandoned chan struct{}
	abandon   sync.Once

	state       *replayer.Replayer
	rules       *replayer.Replayer
	committer   *committer.Committer
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
	callers     *http.Server
	peers       *http.Server
}

// New returns a Host. It needs at least WithHost, WithTokenKeys, WithPeerKey,
// WithLog, WithList and WithListeners.
func New(options ...Option) (*Host, error) {
	h := &Host{incarnation: rand.Text(), abandoned: make(chan struct{})}
	h.settings = settings{
		clock:  time.Now,
		wall:   time.Now,
		logger: zerolog.Nop(),
		drain:  defaultDrain,
		linger: defaultLinger,
		dial:   dialer.NewDial(),
	}
	for _, o := range options {
		o(&h.settings)
	}
	h.settings.connect(&h.counters)
	h.settings.logger = h.settings.logger.With().Str("host", h.settings.self.ID).Logger()
	if err := h.assemble(); err != nil {
		return nil, err
	}
	return h, nil
}

// connect fills in the ways to speak to others that no option set.
func (s *settings) connect(counters *counter.Set) {
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

func (h *Host) assemble() error {
	signer, err := sequencer.NewSigner(h.settings.tokenKeys...)
	if err != nil {
		return fmt.Errorf("token keys: %w", err)
	}
	crashes := isolator.New()
	h.replicas(crashes)
	h.committer = committer.New(h.settings.log, h.state, stateStream, h.incarnation, h.settings.logger)
	h.dispatcher = dispatcher.New(dispatcher.Config{
		Engine:   h.settings.engine,
		Service:  h.settings.service,
		Members:  func() descriptor.Members { return h.members.view().Members() },
		Refresh:  h.refreshMembers,
		Settled:  h.settled,
		Order:    h.settings.order,
		Rules:    h.publisher.Rules,
		Clock:    h.settings.clock,
		Counters: &h.counters,
		Logger:   h.settings.logger,
	})
	h.coordinator = coordinator.New(coordinator.Config{
		Self:        h.settings.self,
		Incarnation: h.incarnation,
		Clock:       h.settings.clock,
		Wall:        h.settings.wall,
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
	h.state.AddHook(replayer.Prioritized{Hook: h.coordinator, Priority: priorityHome})
	return h.servers(signer)
}

func (h *Host) replicas(crashes *isolator.Isolator) {
	h.state = replayer.New(
		h.settings.log, stateStream, h.settings.clock, h.settings.logger,
		replayer.Prioritized{Hook: &h.budgets, Priority: priorityBudgets},
		replayer.Prioritized{Hook: &h.keys, Priority: priorityKeys},
		replayer.Prioritized{Hook: crashes, Priority: priorityPoison},
		replayer.Prioritized{Hook: &h.summaries, Priority: priorityPage},
	)
	h.rules = replayer.New(
		h.settings.log, publisher.Stream, h.settings.clock, h.settings.logger,
		replayer.Prioritized{Hook: &h.publisher, Priority: priorityRules},
	)
}

func (h *Host) servers(signer *sequencer.Signer) error {
	callers, err := server.New(server.Config{
		Commands: (*commands)(h),
		Queries:  (*queries)(h),
		Signer:   signer,
		MaxBody:  h.settings.maxBody,
	})
	if err != nil {
		return err
	}
	h.callers = &http.Server{Handler: h.closing(callers), ReadHeaderTimeout: headerBudget}
	h.peers = messenger.NewServer(messenger.NewHandler(
		h.settings.peerKey, (*peerCommands)(h), (*peerQueries)(h), (*peerStreams)(h),
	))
	return nil
}

// closing has callers open new connections while the host stops: an idle one
// would be closed under a request.
func (h *Host) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// headerBudget is how long a caller may take to send its headers.
const headerBudget = 10 * time.Second

// Run serves until ctx ends, then stops gracefully: it cuts no call under way.
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
	group.Go(func() error { return served(h.peers.Serve(h.settings.peer)) })
	group.Go(func() error { return served(h.callers.Serve(h.settings.caller)) })
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

// Abandon ends the host at once, as the death of its process would.
func (h *Host) Abandon() { h.abandon.Do(func() { close(h.abandoned) }) }

// Ready reports whether the host takes calls.
func (h *Host) Ready() bool { return (*queries)(h).Status().Ready }

// Peers returns the number of other live hosts that the host knows.
func (h *Host) Peers() int { return len(h.others()) }

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

var (
	_ connector.Frames = (*messenger.Stream)(nil)
	_ connector.Frames = (*messenger.Pipe)(nil)
)

// Programs returns the number of programs that the host is home for.
func (h *Host) Programs() int { return h.coordinator.Programs() }

// Rules returns the rules in force on the host.
func (h *Host) Rules() parser.Rules { return h.publisher.Rules() }

// Page returns the owner's page of today.
func (h *Host) Page() reporter.Page { return (*queries)(h).Page() }

// Live reports whether the host neither stops nor was abandoned.
func (h *Host) Live() bool {
	select {
	case <-h.abandoned:
		return false
	default:
		return !h.leaving.Load()
	}
}
