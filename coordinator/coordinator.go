package coordinator

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/arbiter"
	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/committer"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/replayer"
	"github.com/citronpier/citronpier/reporter"
	"github.com/citronpier/citronpier/router"
	"github.com/citronpier/citronpier/sequencer"
)

// Config holds the settings and dependencies of a Coordinator.
type Config struct {
	// Self describes this host.
	Self descriptor.Host
	// Incarnation identifies one run of the host process. A restarted host has
	// a new incarnation.
	Incarnation string
	// Clock returns the time from which durations are computed.
	Clock func() time.Time
	// WallClock returns the date and time of day for reports.
	WallClock func() time.Time
	// Rules returns the rule file in force.
	Rules func() parser.Rules
	// View returns the current service-discovery list of hosts and upstreams.
	View func() locator.View
	// Yield asks the hosts that are stopping to hand over a program. It returns the
	// program's state, or false if no host hands the program over.
	Yield func(ctx context.Context, program string) (*messenger.ProgramState, bool)
	// Suspect marks a host as suspected after a request to it failed.
	Suspect func(host descriptor.Host)
	// Dispatch sends an attempt to host h, the home of the attempt's upstream, and
	// returns the stream of response frames from h.
	Dispatch func(ctx context.Context, h descriptor.Host, req *messenger.DispatchRequest) (connector.Frames, error)
	// Engine is used to evict a program's cached prompt from an upstream.
	Engine connector.Engine
	// Routing is the policy that chooses among upstreams; nil means
	// router.LeastCost.
	Routing router.Policy
	// Signer signs and verifies the tokens that callers present.
	Signer *sequencer.Signer
	// Committer appends records to the replicated log.
	Committer *committer.Committer
	// Replica applies the log's records to Budgets, Keys and the Isolator.
	Replica *replayer.Replayer
	// Budgets holds the budget state of each program in the log. Read it only
	// inside Replica.View, which holds the replica's lock.
	Budgets *budgeter.Ledger
	// Keys holds the state of each idempotency key in the log. Read it only
	// inside Replica.View, which holds the replica's lock.
	Keys *arbiter.Ledger
	// Isolator counts the upstream crashes that each request caused.
	Isolator *isolator.Isolator
	Counters *counter.Set
	Reporter *reporter.Reporter
	Logger   zerolog.Logger
}

// A Coordinator runs the calls of the programs whose home is this host. It is safe
// for use by several goroutines.
type Coordinator struct {
	config Config
	loads  loadTable
	quotas quotaTable

	// mu guards the fields below, except adoptedHolders and runningJobs, which
	// have their own locks.
	mu sync.Mutex
	// programs maps the id of each program that this host holds to the program's
	// state.
	programs map[string]*program
	// claimLocks holds, by program id, a channel for each claim in progress. The
	// channel is closed when the claim ends.
	claimLocks map[string]chan struct{}
	// jobs holds the jobs of running and recently ended calls. The key is the
	// result of identity for the call's request.
	jobs map[string]*job
	// jobsByCall holds the same jobs, with organisation and call id as the key.
	// Cancel looks a job up here.
	jobsByCall map[string]*job
	// stopping is set by StopAccepting.
	stopping bool
	// adoptedHolders holds the budget-holder ids of the programs that other hosts
	// handed over to this host, so that a repeated handover is ignored.
	adoptedHolders *lru.Cache[string, struct{}]
	runningJobs    sync.WaitGroup
}

// maxAdoptedHolders is the size of the LRU cache of adopted budget-holder ids.
const maxAdoptedHolders = 1 << 20

// New returns a Coordinator without programs.
func New(c Config) *Coordinator {
	adopted, err := lru.New[string, struct{}](maxAdoptedHolders)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Coordinator{
		config:         c,
		adoptedHolders: adopted,
		programs:       make(map[string]*program),
		claimLocks:     make(map[string]chan struct{}),
		jobs:           make(map[string]*job),
		jobsByCall:     make(map[string]*job),
	}
}

// Call runs a call, or attaches to the job that is already running the call, and
// passes its frames to emit. The last frame is an End (model call), a Reply
// (service call) or a Fault. The returned error is a *refuser.Refusal or the error
// of emit.
func (c *Coordinator) Call(ctx context.Context, req *messenger.CallRequest, emit func(*messenger.Frame) error) error {
	c.config.Counters.Reached(counter.StageReceived)
	j, err := c.findOrStartJob(req)
	if err != nil {
		return req.WithUnknownRun(refuser.From(err))
	}
	return j.follow(ctx, req.GetFrom(), emit)
}

// findOrStartJob returns the job that runs or ran the requested call, and starts
// a new job if there is none.
func (c *Coordinator) findOrStartJob(req *messenger.CallRequest) (*job, error) {
	identity := identity(req)
	digest := requestDigest(req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if j, ok := c.jobs[identity]; ok {
		return c.attach(j, digest)
	}
	if _, held := c.programs[req.GetProgram()]; c.stopping && !held {
		return nil, refuser.New(refuser.Leaving, "host %s is stopping", c.config.Self.ID).WithRetry(time.Second)
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := newJob(req.GetCall(), digest, req.GetKey() != "", cancel)
	c.jobs[identity] = j
	c.jobsByCall[scopedName(req.GetOrganisation(), req.GetCall())] = j
	c.runningJobs.Add(1)
	go c.execute(ctx, j, req)
	return j, nil
}

// attach returns the existing job j, or refuses the request if its digest shows
// that the idempotency key was used for another request.
func (c *Coordinator) attach(j *job, digest string) (*job, error) {
	if j.digest != digest {
		return nil, refuser.New(refuser.Identity, "the key was used for another request")
	}
	c.config.Counters.Reached(counter.StageAttached)
	return j, nil
}

// execute runs the call of a job and ends the job. If the call is refused, the
// last frame is a Fault.
func (c *Coordinator) execute(ctx context.Context, j *job, req *messenger.CallRequest) {
	defer c.runningJobs.Done()
	defer j.cancel()
	r := run{coordinator: c, job: j, req: req}
	err := r.run(ctx)
	if err == nil {
		c.config.Counters.Reached(counter.StageAnswered)
		return
	}
	refusal := refuser.From(err)
	if !r.ownsKey {
		refusal = req.WithUnknownRun(refusal)
	}
	c.config.Counters.Refused(refusal.Reason)
	c.config.Reporter.CountRefused(refusal.Reason)
	c.forgetRetryable(req, refusal)
	j.addFrame(messenger.FaultFrame(refusal), c.config.Clock())
}

// forgetRetryable drops the job of a call that provably did not run or was
// refused for a transient reason. A later request with the same key then starts
// a new job.
func (c *Coordinator) forgetRetryable(req *messenger.CallRequest, r *refuser.Refusal) {
	if r.Run != descriptor.RunNo && !r.Reason.Transient() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, identity(req))
}

// Open opens a program and returns its first token. The program may spend up to
// the first ceiling, budgeter.FirstCeiling of its budget, without a record in the log:
// every later claim of the program counts that amount as spent.
func (c *Coordinator) Open(req *messenger.OpenRequest, now time.Time) (*messenger.OpenReply, error) {
	kind, err := c.lookupKind(req.GetKind())
	if err != nil {
		return nil, err
	}
	status := c.config.Replica.Status()
	if !status.CaughtUp {
		return nil, refuser.New(refuser.Log, "the host has not read the log yet").WithRetry(time.Second)
	}
	p := c.newProgram(req, kind, status.Next, now)
	if err := c.addProgram(p); err != nil {
		return nil, err
	}
	token, err := c.config.Signer.Seal(p.token(0, nil, 0, now))
	if err != nil {
		return nil, refuser.New(refuser.Internal, "%w", err)
	}
	return &messenger.OpenReply{Program: p.id, Token: token, Budget: p.budget}, nil
}

// lookupKind returns the rule for a program kind. It refuses a kind that no rule
// names or that a rule refuses.
func (c *Coordinator) lookupKind(name string) (parser.Kind, error) {
	rules := c.config.Rules()
	if rules.Version == 0 {
		return parser.Kind{}, refuser.New(refuser.Rules, "no rule file is in force").WithRetry(time.Second)
	}
	kind, ok := rules.Kind(name)
	if !ok && name == "" {
		return parser.Kind{}, refuser.New(refuser.Kind, "the program names no kind and no rule names the kind %q", parser.DefaultKind)
	}
	if !ok {
		return parser.Kind{}, refuser.New(refuser.Kind, "no rule names the kind %q", name)
	}
	if kind.Refused {
		return parser.Kind{}, refuser.New(refuser.Kind, "a rule refuses the kind %q", name)
	}
	return kind, nil
}

// newProgram returns a program that starts now. Its budget is the requested budget,
// limited to the budget of its kind. The parameter opened is the log's next offset.
func (c *Coordinator) newProgram(req *messenger.OpenRequest, kind parser.Kind, opened int64, now time.Time) *program {
	budget := kind.Budget
	if req.GetBudget() > 0 {
		budget = min(budget, req.GetBudget())
	}
	return &program{
		id:           req.GetProgram(),
		organisation: req.GetOrganisation(),
		kind:         kind,
		holder:       rand.Text(),
		budget:       budget,
		account:      budgeter.Open(budget),
		opened:       opened,
		startedAt:    now,
		lastActive:   now,
	}
}

// addProgram adds a program, or refuses it if the host is stopping.
func (c *Coordinator) addProgram(p *program) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return refuser.New(refuser.Leaving, "host %s is stopping", c.config.Self.ID).WithRetry(time.Second)
	}
	c.programs[p.id] = p
	return nil
}

func (c *Coordinator) lookupProgram(id string) (*program, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.programs[id]
	return p, ok
}

func (c *Coordinator) dropProgram(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.programs, id)
}

// Holds reports whether this host holds the program with the given id.
func (c *Coordinator) Holds(id string) bool {
	_, ok := c.lookupProgram(id)
	return ok
}

// Programs returns the number of programs that this host holds.
func (c *Coordinator) Programs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.programs)
}

// RecordLoads stores load reports from the homes of upstreams. The reports are used
// to choose an upstream for a call.
func (c *Coordinator) RecordLoads(loads []*messenger.Load) { c.loads.observe(loads) }
