package prover_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/launcher"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/standin"
)

const (
	model = "timer-7b"
	// poison is a text that crashes the engine that receives it.
	poison = "POISON"
	// limit is the maximum length of an answer, in tokens.
	limit = 40
	// budget is the token budget of programs. It is small enough that the second
	// call of a program needs a grant.
	budget = 400
	// caseTimeout is the timeout of the workload of one test case (a fault and a
	// step), including the recovery from the fault.
	caseTimeout = 3 * time.Minute
	// listLag is the delay until the service-discovery list shows a change.
	listLag = 300 * time.Millisecond
)

// fixture is the deployment of one test case (a fault that is injected at a
// step). It also holds the callers, and what the callers and the test observed.
type fixture struct {
	t       *testing.T
	fleet   *launcher.Fleet
	network *standin.Memory
	// link carries the connections of all callers.
	link   *standin.Link
	client *caller.Client
	// began is when the deployment was started.
	began time.Time

	mu sync.Mutex
	// programUnderTest is the id of the program at whose steps the fault is
	// injected. It is empty until the program is opened.
	programUnderTest string
	// targetHost is the host at which faults are injected while it is live.
	targetHost *launcher.Host
	// results has the results of all calls, in the order of the responses.
	results []callResult
	// retriedNotRun has the error responses that reported a service call as not
	// run and that made the client retry the call.
	retriedNotRun []callResult
	departures    []departure
	// replaced counts the hosts that were started to replace crashed hosts.
	replaced int
	// claims has the times at which each program was claimed.
	claims map[string][]time.Time
	// onAppend, if not nil, is called for each record that is appended to the
	// log, before and after the append.
	onAppend func(stream string, r *recorder.Record, at standin.Step)
	// resumedAt has the times at which paused hosts resumed.
	resumedAt []time.Time
	// versions has, for each host, the rule versions that were in force, in
	// order of time.
	versions map[string][]int64
	// pending counts the background work that the test case waits for.
	pending    sync.WaitGroup
	injectOnce sync.Once
	// injected reports whether the fault was injected.
	injected bool
}

// callResult is the result of one call as its caller saw it.
type callResult struct {
	// key is the idempotency key of a service call and empty for other calls.
	// want and got are the expected and the actual answer of a model call.
	program, key, want, got string
	err                     error
	// asked is when the call was made; at is when the response came.
	asked, at time.Time
}

// departure records when an engine was listed as leaving.
type departure struct {
	engine *launcher.Engine
	at     time.Time
}

func newFixture(t *testing.T) *fixture {
	network := &standin.Memory{}
	f, err := launcher.Start(launcher.Config{
		Network:     launcher.Network{Dial: network.Dial, Listen: network.Listen, Address: network.Address},
		DataCentres: []string{"kochi", "thrissur"}, Hosts: 3, Engines: 3,
		Engine: standin.EngineConfig{
			Slots: 2, Step: 20 * time.Millisecond, CacheTokens: 100_000, CrashOn: poison,
		},
		Model: model, Services: []string{"timer"}, Rules: examples.Demo, ListLag: listLag, ListExpiry: 10 * time.Second,
		DrainPeriod: 6 * time.Second, DrainTimeout: time.Minute, Logger: caseLogger(t),
	})
	if err != nil {
		t.Fatal(err)
	}
	fx := &fixture{t: t, fleet: f, network: network, began: time.Now(), versions: make(map[string][]int64), claims: make(map[string][]time.Time)}
	f.Log.OnAppend(fx.observeAppend)
	fx.link = standin.NewLink(network.Dial, network.Listen)
	fx.client = caller.New(examples.DeepamKey, f.Callers(), fx.link.Dial)
	fx.client.OnRetry(fx.recordRetry)
	if err := f.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	return fx
}

func (fx *fixture) close() {
	fx.fleet.Close()
	fx.link.Kill()
	// Interrupted requests may still be running at the fakes. They end within
	// 10 s.
	time.Sleep(10 * time.Second)
}

// inject is called each time that the step is reached. Only the first call of
// inject runs the fault; later calls do nothing.
func (fx *fixture) inject(fault func(*fixture)) {
	fx.injectOnce.Do(func() {
		fx.injected = true
		fault(fx)
	})
}

// after runs a function after a delay. The test case waits until the function
// has returned.
func (fx *fixture) after(d time.Duration, f func()) {
	fx.pending.Go(func() {
		time.Sleep(d)
		f()
	})
}

// serviceCallKey is the idempotency key of the service call of the program
// under test.
const serviceCallKey = "key-fitter"

func (fx *fixture) programUnderTestID() string {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.programUnderTest
}

// target returns the host at which faults are injected: targetHost, or the first
// live host if targetHost is not live.
func (fx *fixture) target() *launcher.Host {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if fx.targetHost != nil && fx.targetHost.Node.Live() {
		return fx.targetHost
	}
	for _, h := range fx.fleet.Hosts {
		if h.Node.Live() {
			return h
		}
	}
	return fx.fleet.Hosts[0]
}

// replace starts a new host to replace a crashed host.
func (fx *fixture) replace() {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.replaced++
	if _, err := fx.fleet.AddHost(fmt.Sprintf("replacement-%d", fx.replaced)); err != nil {
		fx.t.Errorf("replace: %v", err)
	}
}

// setTarget makes a host the target of faults: the host with the given rank in
// the program's order of hosts. Rank 0 is the program's home.
func (fx *fixture) setTarget(ctx context.Context, program string, rank int) {
	addresses, err := fx.client.Hosts(ctx, program)
	if err != nil || rank >= len(addresses) {
		return
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for _, h := range fx.fleet.Hosts {
		if h.Caller == addresses[rank] {
			fx.targetHost = h
		}
	}
}

// recordRetry is called when the client retries a call. It records the response
// if the response reported the call as not run.
func (fx *fixture) recordRetry(key string, cause error) {
	var f *caller.Failure
	if errors.As(cause, &f) && f.Run == descriptor.RunNo {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.retriedNotRun = append(fx.retriedNotRun, callResult{key: key, err: cause, at: time.Now()})
	}
}

func (fx *fixture) recordResult(x callResult) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	x.at = time.Now()
	fx.results = append(fx.results, x)
}

// callModel makes one model call. It records the actual answer, and the answer
// that is expected for the program's history. It reports whether the call
// succeeded.
func (fx *fixture) callModel(ctx context.Context, p *caller.Program, text string, streamed bool) bool {
	var history strings.Builder
	for _, m := range p.Messages() {
		history.WriteString(m.Role + m.Content)
	}
	history.WriteString("user" + text)
	call := p.Say
	if streamed {
		call = p.Stream
	}
	asked := time.Now()
	got, err := call(ctx, model, text, limit)
	fx.recordResult(callResult{program: p.ID, want: standin.Answer(history.String(), limit), got: got, err: err, asked: asked})
	return err == nil
}

func (fx *fixture) callService(ctx context.Context, p *caller.Program, key string) {
	asked := time.Now()
	_, err := p.CallService(ctx, "timer", "switch", key, []byte(`{"on":true}`))
	fx.recordResult(callResult{program: p.ID, key: key, err: err, asked: asked})
}

// onRecord arranges for a fault to be injected when a matching record reaches a
// step of its append to a stream of the log.
func (fx *fixture) onRecord(stream string, at standin.Step, match func(*fixture, *recorder.Record) bool, fault func(*fixture)) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.onAppend = func(name string, r *recorder.Record, step standin.Step) {
		if name == stream && step == at && match(fx, r) {
			fx.inject(fault)
		}
	}
}

// observeAppend records the times of claims and calls onAppend for each record
// of a batch.
func (fx *fixture) observeAppend(stream string, data []byte, step standin.Step) {
	var b recorder.Batch
	if proto.Unmarshal(data, &b) != nil {
		return
	}
	fx.mu.Lock()
	onAppend := fx.onAppend
	for _, r := range b.GetRecords() {
		if c := r.GetClaim(); c != nil && step == standin.StepAppended {
			fx.claims[c.GetProgram()] = append(fx.claims[c.GetProgram()], time.Now())
		}
	}
	fx.mu.Unlock()
	for _, r := range b.GetRecords() {
		if onAppend != nil {
			onAppend(stream, r, step)
		}
	}
}

// onEngine arranges for a fault to be injected when a call of the program under
// test reaches a step at an engine.
func (fx *fixture) onEngine(at standin.Step, fault func(*fixture)) {
	for _, e := range fx.fleet.Engines {
		e.OnStep(func(step standin.Step, session string) {
			if step == at && session == fx.programUnderTestID() {
				fx.inject(fault)
			}
		})
	}
}

// onService arranges for a fault to be injected when the service call of the
// program under test reaches a step.
func (fx *fixture) onService(at standin.Step, fault func(*fixture)) {
	fx.fleet.Services["timer"].OnStep(func(step standin.Step, key string) {
		if step == at && key == serviceCallKey {
			fx.inject(fault)
		}
	})
}

// publish publishes the rules again, as an operator's tool does. A conflict
// with another publisher or an unknown result does not fail the test.
func (fx *fixture) publish(ctx context.Context, author string) {
	p := publisher.New(fx.log())
	base := fx.fleet.Hosts[0].Node.Rules().Version
	_, err := p.Publish(ctx, &recorder.RuleFile{Base: base, Text: examples.Demo, Author: author})
	var conflict *publisher.ConflictError
	var unresolved *publisher.UnresolvedError
	if err != nil && !errors.As(err, &conflict) && !errors.As(err, &unresolved) {
		fx.t.Errorf("publish: %v", err)
	}
}

// watchVersions polls the version of the rules in force at each host until ctx
// ends, and appends each changed version to fx.versions.
func (fx *fixture) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		fx.mu.Lock()
		for _, h := range fx.fleet.Hosts {
			v := h.Node.Rules().Version
			seen := fx.versions[h.ID]
			if len(seen) == 0 || seen[len(seen)-1] != v {
				fx.versions[h.ID] = append(seen, v)
			}
		}
		fx.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// run runs the program under test, with the hooks of the step c, and two other
// programs at the same time. It returns when all three programs and the
// background work have ended.
func (fx *fixture) run(ctx context.Context, c column, fault func(*fixture)) {
	var others sync.WaitGroup
	for i := range 2 {
		others.Go(func() { fx.program(ctx, fmt.Sprintf("dealer-%d", i), "dealer", column{}, nil) })
	}
	fx.program(ctx, "fitter", "fitter", c, fault)
	others.Wait()
	fx.pending.Wait()
}

// program opens a program, makes four model calls, sends a service call twice
// with the same idempotency key, and finishes the program. The parameter fault
// is nil except for the program under test. The program under test streams all
// its model calls; each other program streams one model call.
func (fx *fixture) program(ctx context.Context, name, kind string, c column, fault func(*fixture)) {
	if c.before != nil {
		c.before(fx, fault)
	}
	p, err := fx.client.Open(ctx, kind, budget)
	if err != nil {
		fx.recordResult(callResult{program: name, err: err})
		return
	}
	if fault != nil {
		fx.mu.Lock()
		fx.programUnderTest = p.ID
		fx.mu.Unlock()
		fx.setTarget(ctx, p.ID, 0)
	}
	ok := fx.callModel(ctx, p, name+" begins", fault != nil)
	if ok && c.between != nil {
		c.between(ctx, fx, p, fault)
	}
	for i := range 3 {
		ok = ok && fx.callModel(ctx, p, fmt.Sprintf("%s goes on %d", name, i), fault != nil || i == 1)
	}
	fx.callService(ctx, p, "key-"+name)
	fx.callService(ctx, p, "key-"+name)
	if err := p.Finish(ctx); err != nil {
		fx.recordResult(callResult{program: name, err: err})
	}
}

// caseLogger returns the logger of the hosts, which logs only if the tests run
// with -v.
func caseLogger(t *testing.T) zerolog.Logger {
	if !testing.Verbose() {
		return zerolog.Nop()
	}
	return zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()
}
