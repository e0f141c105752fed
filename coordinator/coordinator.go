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

// Config is what a Coordinator works with.
type Config struct {
	Self descriptor.Host
	// Incarnation names this run of the host. It is never used again.
	Incarnation string
	Clock       func() time.Time
	// Wall gives the date and time of day for reports.
	Wall  func() time.Time
	Rules func() parser.Rules
	View  func() locator.View
	// Yield asks the hosts that are stopping for a program.
	Yield func(ctx context.Context, program string) (*messenger.ProgramState, bool)
	// Suspect reports a host that failed a call.
	Suspect func(host descriptor.Host)
	// Dispatch runs an attempt at an upstream's home.
	Dispatch func(ctx context.Context, h descriptor.Host, req *messenger.DispatchRequest) (connector.Frames, error)
	Engine   connector.Engine
	// Routing is how upstreams are chosen; nil is router.LeastCost.
	Routing   router.Policy
	Signer    *sequencer.Signer
	Committer *committer.Committer
	Replica   *replayer.Replayer
	// Budgets and Keys are read under the replica's lock.
	Budgets  *budgeter.Ledger
	Keys     *arbiter.Ledger
	Isolator *isolator.Isolator
	Counters *counter.Set
	Reporter *reporter.Reporter
	Logger   zerolog.Logger
}

// A Coordinator is the home of programs.
type Coordinator struct {
	config Config
	loads  loadTable
	quotas quotaTable

	mu       sync.Mutex
	programs map[string]*program
	// claims holds a lock for each program that is being claimed.
	claims map[string]chan struct{}
	// jobs holds the calls under way and recently ended, by identity.
	jobs map[string]*job
	// calls finds a job by its call id.
	calls   map[string]*job
	leaving bool
	// adopted holds the holders that were taken over from other hosts.
	adopted *lru.Cache[string, struct{}]
	running sync.WaitGroup
}

// adoptedHolders bounds the holders remembered after they were taken over.
const adoptedHolders = 1 << 20

// New returns a Coordinator without programs.
func New(c Config) *Coordinator {
	adopted, err := lru.New[string, struct{}](adoptedHolders)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Coordinator{
		config:   c,
		adopted:  adopted,
		programs: make(map[string]*program),
		claims:   make(map[string]chan struct{}),
		jobs:     make(map[string]*job),
		calls:    make(map[string]*job),
	}
}

// Call runs a call, or attaches to it where it already runs, and emits its
// frames. The last one is an End, a Reply or a Fault.
func (c *Coordinator) Call(ctx context.Context, req *messenger.CallRequest, emit func(*messenger.Frame) error) error {
	c.config.Counters.Reached(counter.StageReceived)
	j, err := c.job(req)
	if err != nil {
		return req.Unproved(refuser.From(err))
	}
	return j.follow(ctx, req.GetFrom(), emit)
}

// job returns the job of a call and starts it where it is new.
func (c *Coordinator) job(req *messenger.CallRequest) (*job, error) {
	identity := identity(req)
	digest := requestDigest(req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if j, ok := c.jobs[identity]; ok {
		return c.attach(j, digest)
	}
	if _, held := c.programs[req.GetProgram()]; c.leaving && !held {
		return nil, refuser.New(refuser.Leaving, "host %s is stopping", c.config.Self.ID).WithRetry(time.Second)
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := newJob(req.GetCall(), digest, req.GetKey() != "", cancel)
	c.jobs[identity] = j
	c.calls[scoped(req.GetOrganisation(), req.GetCall())] = j
	c.running.Add(1)
	go c.execute(ctx, j, req)
	return j, nil
}

func (c *Coordinator) attach(j *job, digest string) (*job, error) {
	if j.digest != digest {
		return nil, refuser.New(refuser.Identity, "the key was used for another request")
	}
	c.config.Counters.Reached(counter.StageAttached)
	return j, nil
}

// execute runs a job to its last frame.
func (c *Coordinator) execute(ctx context.Context, j *job, req *messenger.CallRequest) {
	defer c.running.Done()
	defer j.cancel()
	r := run{coordinator: c, job: j, req: req}
	err := r.run(ctx)
	if err == nil {
		c.config.Counters.Reached(counter.StageAnswered)
		return
	}
	refusal := refuser.From(err)
	if !r.won {
		refusal = req.Unproved(refusal)
	}
	c.config.Counters.Refused(refusal.Reason)
	c.config.Reporter.Refused(refusal.Reason)
	c.forget(req, refusal)
	j.add(messenger.FaultFrame(refusal), c.config.Clock())
}

// forget drops the job of a call that was provably not run, so that the same
// key may ask again.
func (c *Coordinator) forget(req *messenger.CallRequest, r *refuser.Refusal) {
	if r.Run != descriptor.RunNo && !r.Reason.Transient() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, identity(req))
}

// Open opens a program. Its first ceiling belongs to this incarnation and
// needs no record in the log.
func (c *Coordinator) Open(req *messenger.OpenRequest, now time.Time) (*messenger.OpenReply, error) {
	kind, err := c.kind(req.GetKind())
	if err != nil {
		return nil, err
	}
	status := c.config.Replica.Status()
	if !status.Caught {
		return nil, refuser.New(refuser.Log, "the host has not read the log yet").WithRetry(time.Second)
	}
	p := c.newProgram(req, kind, status.Next, now)
	if err := c.put(p); err != nil {
		return nil, err
	}
	token, err := c.config.Signer.Seal(p.token(0, nil, 0, now))
	if err != nil {
		return nil, refuser.New(refuser.Internal, "%w", err)
	}
	return &messenger.OpenReply{Program: p.id, Token: token, Budget: p.budget}, nil
}

func (c *Coordinator) kind(name string) (parser.Kind, error) {
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
		began:        now,
		last:         now,
	}
}

// put adds a program, unless the host is stopping.
func (c *Coordinator) put(p *program) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return refuser.New(refuser.Leaving, "host %s is stopping", c.config.Self.ID).WithRetry(time.Second)
	}
	c.programs[p.id] = p
	return nil
}

func (c *Coordinator) program(id string) (*program, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.programs[id]
	return p, ok
}

func (c *Coordinator) drop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.programs, id)
}

// Holds reports whether the host acts for a program.
func (c *Coordinator) Holds(id string) bool {
	_, ok := c.program(id)
	return ok
}

// Programs returns the number of programs that the host is home for.
func (c *Coordinator) Programs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.programs)
}

// Observe takes in what the homes of upstreams report of their load.
func (c *Coordinator) Observe(loads []*messenger.Load) { c.loads.observe(loads) }
