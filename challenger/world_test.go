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
	hosts = 3
	// budget covers the program's turns twice, and tokensPerEvent is what an
	// event counts.
	budget         = 400
	most           = 30
	tokensPerEvent = 10
	events         = 2
	// patience is how long a caller waits for one attempt.
	patience = 4 * time.Second
	// tries is how often a caller sends a turn.
	tries = 8
	// restartIn is when a process that died is started again.
	restartIn = time.Second
	// settled is how long after the last fault everything has to work again.
	settled = 12 * time.Second
)

var (
	configurations = connector.Partition{Topic: "configurations"}
	upstreams      = connector.Partition{Topic: "upstreams"}
	hostList       = connector.Partition{Topic: "hosts"}
	shards         = []connector.Partition{{Topic: "turns", Part: 0}, {Topic: "turns", Part: 1}}
)

// world is one cell: a deployment, its faults and what was seen.
type world struct {
	t       *testing.T
	network standin.Memory
	store   standin.Store
	chats   []*upstream
	tools   []*upstream

	mu        sync.Mutex
	processes []*process
	started   int
	// step is called with each step that is reached, until it strikes.
	step func(name string)
	hit  bool
	// current is the host that has the caller's request.
	current *process
	// stage says what the turn under way waits for.
	stage string
	// version is the configuration that was written last.
	version int
	// lastFault is when the last fault began or ended.
	lastFault time.Time
	faults    faults
	seen      seen
}

// faults are the faults of the store that are on.
type faults struct {
	down    bool
	refused map[*process]bool
	// partition is refused to all; its zero value is none.
	partition connector.Partition
	loses     standin.Effect
}

// seen is what callers and upstreams saw.
type seen struct {
	// ran has the bodies of each request that an upstream ran, by its id.
	ran map[string][]string
	// denied has the ids that were told not to have run.
	denied []string
	// handed counts the tokens that the program's caller got.
	handed int
	// wrong has what no caller may get.
	wrong []string
}

// live returns the hosts that take requests.
func (w *world) live() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*process
	for _, p := range w.processes {
		p.mu.Lock()
		if !p.dead && !p.leaving {
			live = append(live, p)
		}
		p.mu.Unlock()
	}
	return live
}

// others returns the live hosts but the current one.
func (w *world) others() []*process {
	var others []*process
	for _, p := range w.live() {
		if p != w.currentHost() {
			others = append(others, p)
		}
	}
	return others
}

func (w *world) currentHost() *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// reach tells that a step was reached.
func (w *world) reach(name string) {
	w.mu.Lock()
	step := w.step
	w.mu.Unlock()
	if step != nil {
		step(name)
	}
}

func (w *world) setStage(stage string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stage = stage
}

// fault says what the store does with a call.
func (w *world) fault(c standin.Call) standin.Effect {
	w.mu.Lock()
	var caller *process
	for _, p := range w.processes {
		if p.name == c.Host {
			caller = p
		}
	}
	stage := w.stage
	w.mu.Unlock()
	turns := c.Partition.Topic == "turns"
	switch {
	case c.Append && turns && stage == "ending":
		w.reach("end")
	case c.Append && turns:
		w.reach("hold")
	case turns:
		w.reach("load")
	}
	if caller != nil && !caller.await() {
		return standin.LoseCall
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.faults.down || w.faults.refused[caller] || c.Partition == w.faults.partition:
		return standin.Refuse
	case c.Append && turns:
		return w.faults.loses
	}
	return standin.Done
}

// put writes a keyed record as the operator or an upstream does.
func (w *world) put(p connector.Partition, key string, value any) {
	var raw []byte
	if value != nil {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err) // the tests' values are always encoded
		}
	}
	record := codec{}.Join(key, raw)
	for {
		if _, err := w.store.Host("writer").Append(context.Background(), p, [][]byte{record}, connector.AnyEnd); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// configure writes the next configuration as the operator does.
func (w *world) configure() {
	w.mu.Lock()
	w.version += versionStep
	version := w.version
	w.mu.Unlock()
	w.put(configurations, "config", version)
}

// versionStep is the step between versions.
const versionStep = 3

// newWorld starts a deployment that serves.
func newWorld(t *testing.T) *world {
	w := &world{t: t, seen: seen{ran: make(map[string][]string)}}
	w.store.Fault = w.fault
	w.store.Key = func(record []byte) (string, []byte) {
		key, value, err := codec{}.Split(record)
		if err != nil {
			return "", nil
		}
		return key, value
	}
	w.configure()
	for i := range 2 {
		w.chats = append(w.chats, w.startUpstream(fmt.Sprint("chat", i), "chat", 1))
		w.tools = append(w.tools, w.startUpstream(fmt.Sprint("tool", i), "tool", 1))
	}
	for range hosts {
		w.start()
	}
	w.await("ready", func() bool {
		for _, p := range w.live() {
			if addresses, _ := p.entry.Addresses("d", time.Now()); len(addresses) != hosts {
				return false
			}
		}
		return true
	})
	return w
}

// await waits until something holds.
func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Errorf("not %s within 30 s", what)
}

// stop ends everything.
func (w *world) stop() {
	w.mu.Lock()
	w.faults = faults{}
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.resume()
		p.cancel()
	}
	for _, p := range processes {
		<-p.done
	}
	for _, u := range append(w.chats, w.tools...) {
		u.stop()
	}
}
