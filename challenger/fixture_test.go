package challenger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/standin"
)

const (
	hostCount = 3
	// budget is the program's token budget. It is enough to run every turn
	// twice, even if every run uses maxTurnTokens.
	budget = 400
	// maxTurnTokens is the maximum number of tokens that a turn may generate. A
	// host reserves this number before it sends the turn.
	maxTurnTokens = 30
	// tokensPerEvent is the number of tokens that one event counts as.
	tokensPerEvent = 10
	// eventsPerTurn is the number of events that an upstream sends for a turn.
	eventsPerTurn = 2
	// attemptTimeout is how long a caller waits for the response to an attempt.
	attemptTimeout = 4 * time.Second
	// maxAttempts is how often a caller sends a turn before it gives up.
	maxAttempts = 8
	// restartDelay is the time from a crash to the start of a new process.
	restartDelay = time.Second
	// recoveryTime is the time after the last fault within which the deployment
	// must work normally again.
	recoveryTime = 12 * time.Second
)

var (
	configurations = connector.Partition{Topic: "configurations"}
	upstreams      = connector.Partition{Topic: "upstreams"}
	hostList       = connector.Partition{Topic: "hosts"}
	quarantines    = connector.Partition{Topic: "quarantines"}
	shards         = []connector.Partition{{Topic: "turns", Part: 0}, {Topic: "turns", Part: 1}}
)

// fixture is the deployment of one test case (a fault that is injected at a
// step). It also holds the active faults, and the observations of callers and
// upstreams.
type fixture struct {
	t       *testing.T
	network standin.Memory
	store   standin.Store
	// chats are the model engines, and tools the plain services.
	chats []*upstream
	tools []*upstream

	mu        sync.Mutex
	processes []*process
	// started counts the processes and upstreams started so far. Their
	// addresses are derived from it.
	started int
	// step, if not nil, is called with the name of each step that is reached.
	step func(name string)
	// injected reports whether the fault was injected.
	injected bool
	// current is the host to which the caller sent its current request.
	current *process
	// stage is the phase of the current request: "beginning", "ending" once the
	// upstream sends the last event, or "answered".
	stage string
	// version is the version of the newest configuration.
	version int
	// lastFault is the latest time at which a scheduled fault or restart begins
	// or ends. It may be in the future.
	lastFault time.Time
	faults    faults
	observed  observations
	// crashes counts the arrivals of a request that crashes upstreams; nil if there is none.
	crashes *crashes
}

// faults are the active faults of the store.
type faults struct {
	// down makes the store refuse every call.
	down bool
	// refused has the hosts whose calls the store refuses.
	refused map[*process]bool
	// partition is the partition on which the store refuses every call; the zero
	// value means none.
	partition connector.Partition
	// appendEffect is the outcome of appends to the shards.
	appendEffect standin.Effect
}

// observations are what callers and upstreams observed.
type observations struct {
	// ran has the bodies of the requests that upstreams received, by request id:
	// one body for each time the request arrived.
	ran map[string][]string
	// reportedNotRun has the ids of requests whose caller was told that they did
	// not run.
	reportedNotRun []string
	// deliveredTokens counts the tokens that the program's caller received.
	deliveredTokens int
	// violations describes the observations that break a guarantee.
	violations []string
}

// live returns the hosts that are neither killed nor stopped, including paused
// hosts.
func (fx *fixture) live() []*process {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	var live []*process
	for _, p := range fx.processes {
		p.mu.Lock()
		if !p.killed && !p.leaving {
			live = append(live, p)
		}
		p.mu.Unlock()
	}
	return live
}

// others returns the live hosts except the current host.
func (fx *fixture) others() []*process {
	var others []*process
	for _, p := range fx.live() {
		if p != fx.currentHost() {
			others = append(others, p)
		}
	}
	return others
}

func (fx *fixture) currentHost() *process {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.current
}

// reachStep calls the hook fx.step, if it is set, for a step that was reached.
// The hook may inject the fault.
func (fx *fixture) reachStep(name string) {
	fx.mu.Lock()
	step := fx.step
	fx.mu.Unlock()
	if step != nil {
		step(name)
	}
}

func (fx *fixture) setStage(stage string) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.stage = stage
}

// fault is the store's fault function: it chooses the outcome of a call from the
// active faults. It also reports the steps that appends to the shards reach, and
// blocks the calls of a paused host.
func (fx *fixture) fault(c standin.Call) standin.Effect {
	fx.mu.Lock()
	var caller *process
	for _, p := range fx.processes {
		if p.name == c.Host {
			caller = p
		}
	}
	stage := fx.stage
	fx.mu.Unlock()
	isTurnShard := c.Partition.Topic == "turns"
	switch {
	case c.Append && isTurnShard && stage == "ending":
		fx.reachStep("end")
	case c.Append && isTurnShard:
		fx.reachStep("hold")
	case isTurnShard:
		fx.reachStep("load")
	}
	if caller != nil && !caller.waitRunning() {
		return standin.LoseCall
	}
	fx.mu.Lock()
	defer fx.mu.Unlock()
	switch {
	case fx.faults.down || fx.faults.refused[caller] || c.Partition == fx.faults.partition:
		return standin.Refuse
	case c.Append && isTurnShard:
		return fx.faults.appendEffect
	}
	return standin.Done
}

// putKeyed appends a record to a keyed partition, in which a record replaces all
// earlier records with the same key. Operators write configurations and upstreams
// announce themselves in this way. putKeyed retries until the store accepts the
// record. A nil value deletes the key.
func (fx *fixture) putKeyed(p connector.Partition, key string, value any) {
	var raw []byte
	if value != nil {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err) // encoding the values of these tests can't fail
		}
	}
	record := codec{}.EncodeKeyed(key, raw)
	for {
		if _, err := fx.store.Host("writer").Append(context.Background(), p, [][]byte{record}, connector.AnyEnd); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// configure writes the next version of the configuration, as an operator does.
func (fx *fixture) configure() {
	fx.mu.Lock()
	fx.version += versionStep
	version := fx.version
	fx.mu.Unlock()
	fx.putKeyed(configurations, "config", version)
}

// versionStep is the difference between one configuration version and the next.
const versionStep = 3

// newFixture starts a deployment and waits until its hosts know each other.
func newFixture(t *testing.T) *fixture {
	fx := &fixture{t: t, observed: observations{ran: make(map[string][]string)}}
	fx.store.Fault = fx.fault
	fx.store.Key = func(record []byte) (string, []byte) {
		key, value, err := codec{}.DecodeKeyed(record)
		if err != nil {
			return "", nil
		}
		return key, value
	}
	fx.configure()
	for i := range 2 {
		fx.chats = append(fx.chats, fx.startUpstream(fmt.Sprint("chat", i), "chat", 1))
		fx.tools = append(fx.tools, fx.startUpstream(fmt.Sprint("tool", i), "tool", 1))
	}
	for range hostCount {
		fx.start()
	}
	fx.waitUntil("ready", func() bool {
		for _, p := range fx.live() {
			if addresses, _ := p.entry.Addresses("d", time.Now()); len(addresses) != hostCount {
				return false
			}
		}
		return true
	})
	return fx
}

// waitUntil waits until a condition holds. It fails the test if the condition
// does not hold within 30 s.
func (fx *fixture) waitUntil(what string, holds func() bool) {
	fx.t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	fx.t.Errorf("not %s within 30 s", what)
}

// stop ends the faults and stops all hosts and upstreams.
func (fx *fixture) stop() {
	fx.mu.Lock()
	fx.faults = faults{}
	processes := fx.processes
	fx.mu.Unlock()
	for _, p := range processes {
		p.resume()
		p.cancel()
	}
	for _, p := range processes {
		<-p.done
	}
	for _, u := range append(fx.chats, fx.tools...) {
		u.stop()
	}
}
