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
	// poison is the text that crashes an engine.
	poison = "POISON"
	// limit is the most tokens of one answer.
	limit = 40
	// budget makes the second call of a program need a grant.
	budget = 400
	// settleIn is how long everything may take after the faults have ended.
	settleIn = 3 * time.Minute
	lag      = 300 * time.Millisecond
)

// world is one cell's system, workload and observations.
type world struct {
	t       *testing.T
	fleet   *launcher.Fleet
	network *standin.Memory
	link    *standin.Link
	client  *caller.Client
	began   time.Time

	mu sync.Mutex
	// main is the id of the main program.
	main string
	// home is the host that serves the main program.
	home *launcher.Host
	told []told
	// denied holds the answers of not run that the client tried again after.
	denied   []told
	leaving  []departure
	replaced int
	// claims holds when a program was claimed.
	claims map[string][]time.Time
	// onAppend strikes at records.
	onAppend func(stream string, r *recorder.Record, at standin.Step)
	// woke holds when a paused host went on.
	woke []time.Time
	// versions holds, for each host, the rule versions seen in order.
	versions map[string][]int64
	pending  sync.WaitGroup
	struck   sync.Once
	hit      bool
}

// told is what the caller was told of one call.
type told struct {
	program, key, want, got string
	err                     error
	// asked and at are when the call was made and answered.
	asked, at time.Time
}

// departure is an upstream that was listed as leaving at a time.
type departure struct {
	engine *launcher.Engine
	at     time.Time
}

func newWorld(t *testing.T) *world {
	network := &standin.Memory{}
	f, err := launcher.Start(launcher.Config{
		Network:     launcher.Network{Dial: network.Dial, Listen: network.Listen, Address: network.Address},
		DataCentres: []string{"kochi", "thrissur"}, Hosts: 3, Engines: 3,
		Engine: standin.EngineConfig{
			Slots: 2, Step: 20 * time.Millisecond, CacheTokens: 100_000, CrashOn: poison,
		},
		Model: model, Services: []string{"timer"}, Rules: examples.Demo, Lag: lag, Expire: 10 * time.Second,
		Linger: 6 * time.Second, Drain: time.Minute, Logger: cellLogger(t),
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, fleet: f, network: network, began: time.Now(), versions: make(map[string][]int64), claims: make(map[string][]time.Time)}
	f.Log.OnAppend(w.appended)
	w.link = standin.NewLink(network.Dial, network.Listen)
	w.client = caller.New(examples.DeepamKey, f.Callers(), w.link.Dial)
	w.client.OnRetry(w.refusedOnTheWay)
	if err := f.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *world) close() {
	w.fleet.Close()
	w.link.Kill()
	// Requests that were broken off end at the stand-ins.
	time.Sleep(10 * time.Second)
}

// strike runs a fault once, at the first time that its step is reached.
func (w *world) strike(fault func(*world)) {
	w.struck.Do(func() {
		w.hit = true
		fault(w)
	})
}

// later runs f after a time. The cell waits for it.
func (w *world) later(d time.Duration, f func()) {
	w.pending.Go(func() {
		time.Sleep(d)
		f()
	})
}

// mainKey is the key of the main program's call of the service.
const mainKey = "key-fitter"

func (w *world) mainID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.main
}

// target returns the host that faults strike.
func (w *world) target() *launcher.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.home != nil && w.home.Node.Live() {
		return w.home
	}
	for _, h := range w.fleet.Hosts {
		if h.Node.Live() {
			return h
		}
	}
	return w.fleet.Hosts[0]
}

// replace starts a new host in the place of one that died.
func (w *world) replace() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replaced++
	if _, err := w.fleet.AddHost(fmt.Sprintf("replacement-%d", w.replaced)); err != nil {
		w.t.Errorf("replace: %v", err)
	}
}

// find notes the host that is home of a program, or a later one in its order.
func (w *world) find(ctx context.Context, program string, place int) {
	addresses, err := w.client.Hosts(ctx, program)
	if err != nil || place >= len(addresses) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.fleet.Hosts {
		if h.Caller == addresses[place] {
			w.home = h
		}
	}
}

// refusedOnTheWay notes an answer of not run that the client tried again after.
func (w *world) refusedOnTheWay(key string, cause error) {
	var f *caller.Failure
	if errors.As(cause, &f) && f.Run == descriptor.RunNo {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.denied = append(w.denied, told{key: key, err: cause, at: time.Now()})
	}
}

func (w *world) note(x told) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.at = time.Now()
	w.told = append(w.told, x)
}

// say makes one model call and notes the answer beside the one that the
// program's own history gives.
func (w *world) say(ctx context.Context, p *caller.Program, text string, streamed bool) bool {
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
	w.note(told{program: p.ID, want: standin.Answer(history.String(), limit), got: got, err: err, asked: asked})
	return err == nil
}

func (w *world) serve(ctx context.Context, p *caller.Program, key string) {
	asked := time.Now()
	_, err := p.Serve(ctx, "timer", "switch", key, []byte(`{"on":true}`))
	w.note(told{program: p.ID, key: key, err: err, asked: asked})
}

// onRecord strikes when the log gets a record of a kind.
func (w *world) onRecord(stream string, at standin.Step, match func(*world, *recorder.Record) bool, fault func(*world)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onAppend = func(name string, r *recorder.Record, step standin.Step) {
		if name == stream && step == at && match(w, r) {
			w.strike(fault)
		}
	}
}

// appended notes claims and strikes at records.
func (w *world) appended(stream string, data []byte, step standin.Step) {
	var b recorder.Batch
	if proto.Unmarshal(data, &b) != nil {
		return
	}
	w.mu.Lock()
	onAppend := w.onAppend
	for _, r := range b.GetRecords() {
		if c := r.GetClaim(); c != nil && step == standin.StepAppended {
			w.claims[c.GetProgram()] = append(w.claims[c.GetProgram()], time.Now())
		}
	}
	w.mu.Unlock()
	for _, r := range b.GetRecords() {
		if onAppend != nil {
			onAppend(stream, r, step)
		}
	}
}

func (w *world) onEngine(at standin.Step, fault func(*world)) {
	for _, e := range w.fleet.Engines {
		e.OnStep(func(step standin.Step, session string) {
			if step == at && session == w.mainID() {
				w.strike(fault)
			}
		})
	}
}

func (w *world) onService(at standin.Step, fault func(*world)) {
	w.fleet.Services["timer"].OnStep(func(step standin.Step, key string) {
		if step == at && key == mainKey {
			w.strike(fault)
		}
	})
}

// publish publishes the rules again, as an operator with the tool would.
func (w *world) publish(ctx context.Context, author string) {
	p := publisher.New(w.log())
	base := w.fleet.Hosts[0].Node.Rules().Version
	_, err := p.Publish(ctx, &recorder.RuleFile{Base: base, Text: examples.Demo, Author: author})
	var conflict *publisher.ConflictError
	var unresolved *publisher.UnresolvedError
	if err != nil && !errors.As(err, &conflict) && !errors.As(err, &unresolved) {
		w.t.Errorf("publish: %v", err)
	}
}

// watch notes the rule versions in force until ctx ends.
func (w *world) watch(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		for _, h := range w.fleet.Hosts {
			v := h.Node.Rules().Version
			seen := w.versions[h.ID]
			if len(seen) == 0 || seen[len(seen)-1] != v {
				w.versions[h.ID] = append(seen, v)
			}
		}
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// run takes the main program and two beside it from their opening to their
// end. The hooks run before the second call and before the end.
func (w *world) run(ctx context.Context, c column, fault func(*world)) {
	var others sync.WaitGroup
	for i := range 2 {
		others.Go(func() { w.program(ctx, fmt.Sprintf("dealer-%d", i), "dealer", column{}, nil) })
	}
	w.program(ctx, "fitter", "fitter", c, fault)
	others.Wait()
	w.pending.Wait()
}

// program runs one program.
func (w *world) program(ctx context.Context, name, kind string, c column, fault func(*world)) {
	if c.before != nil {
		c.before(w, fault)
	}
	p, err := w.client.Open(ctx, kind, budget)
	if err != nil {
		w.note(told{program: name, err: err})
		return
	}
	if fault != nil {
		w.mu.Lock()
		w.main = p.ID
		w.mu.Unlock()
		w.find(ctx, p.ID, 0)
	}
	alive := w.say(ctx, p, name+" begins", fault != nil)
	if alive && c.between != nil {
		c.between(ctx, w, p, fault)
	}
	for i := range 3 {
		alive = alive && w.say(ctx, p, fmt.Sprintf("%s goes on %d", name, i), fault != nil || i == 1)
	}
	w.serve(ctx, p, "key-"+name)
	w.serve(ctx, p, "key-"+name)
	if err := p.Finish(ctx); err != nil {
		w.note(told{program: name, err: err})
	}
}

// cellLogger logs what the hosts do where the tests run with -v.
func cellLogger(t *testing.T) zerolog.Logger {
	if !testing.Verbose() {
		return zerolog.Nop()
	}
	return zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()
}
