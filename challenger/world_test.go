package challenger_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/forwarder"
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

// codec is a platform's formats for this package.
type codec struct{}

// keyed is a keyed record.
type keyed struct {
	Key   string
	Value []byte
}

func (codec) Split(record []byte) (string, []byte, error) {
	var k keyed
	err := json.Unmarshal(record, &k)
	return k.Key, k.Value, err
}

func (codec) Join(key string, value []byte) []byte {
	raw, err := json.Marshal(keyed{key, value})
	if err != nil {
		panic(err) // strings and bytes are always encoded
	}
	return raw
}

// Configuration reads a version: one route of each kind, and one that only that
// version has.
func (codec) Configuration(_ string, value []byte) (descriptor.Configuration, bool, error) {
	var version int64
	if err := json.Unmarshal(value, &version); err != nil {
		return descriptor.Configuration{}, false, err
	}
	route := func(prefix, service string, kind descriptor.Kind) descriptor.Route {
		return descriptor.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: patience, Attempts: 2,
			Split: []descriptor.Share{{Service: service, Weight: 1}},
		}
	}
	return descriptor.Configuration{
		Version: version,
		Routes: []descriptor.Route{
			route("/chat/", "chat", descriptor.Stream{Retain: true, Retention: 10 * time.Minute}),
			route("/once/", "tool", descriptor.Once{}),
			route(fmt.Sprintf("/v%d/", version), "tool", descriptor.Idempotent{}),
		},
		Services: map[string]descriptor.Service{
			"chat": {Name: "chat", TokensPerEvent: tokensPerEvent}, "tool": {Name: "tool"},
		},
	}, true, nil
}

func (codec) Upstream(_ string, value []byte) (descriptor.Upstream, error) {
	var u descriptor.Upstream
	err := json.Unmarshal(value, &u)
	return u, err
}

func (codec) Header(d exchanger.Dispatch, u descriptor.Upstream) http.Header {
	return http.Header{"Id": {d.Request.ID}, "Instance": {u.ID}}
}
func (codec) Echo(h http.Header) string             { return h.Get("Id") }
func (codec) NotRun(status int, h http.Header) bool { return h.Get("Not-Run") != "" || status == 421 }
func (codec) Genuine(http.Header) bool              { return true }

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
	loses   standin.Effect
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

// process is one incarnation of a host.
type process struct {
	name   string
	entry  *citronpier.Entry
	link   *standin.Link
	packet *standin.MemoryPacket
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	dead    bool
	leaving bool
	silent  bool
	// gate is not nil while the process stands still.
	gate chan struct{}
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// await returns once the process goes on, and reports whether it lives.
func (p *process) await() bool {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	if gate != nil {
		<-gate
	}
	return !p.isDead()
}

// resume has a process that stands still go on.
func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gate == nil {
		return
	}
	close(p.gate)
	p.gate = nil
	p.link.Resume()
}

// start starts a host.
func (w *world) start() *process {
	w.mu.Lock()
	w.started++
	number := w.started
	w.mu.Unlock()
	address := w.network.Address(1000 + 10*number)
	callers := w.network.Address(1001 + 10*number)
	p := &process{name: fmt.Sprint("host", number), done: make(chan struct{})}
	p.link = standin.NewLink(w.network.Dial, w.network.Listen)
	packet, err := w.network.ListenPacket(address)
	if err != nil {
		w.t.Fatal(err)
	}
	packet.Cut = func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.dead || p.silent || p.gate != nil
	}
	p.packet = packet
	p.entry = citronpier.NewEntry(citronpier.EntryConfig{
		Host:           descriptor.Host{ID: address, Peer: address, Caller: callers, DataCentre: "d"},
		Store:          w.store.Host(p.name),
		Shards:         shards,
		RecordBytes:    1 << 16,
		Codec:          codec{},
		Configurations: configurations,
		Upstreams:      upstreams,
		Hosts:          hostList,
		Beats:          packet,
		Dial:           p.link.Dial,
		Grace:          4 * time.Second,
		Logger:         zerolog.Nop(),
	})
	listener, err := p.link.Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		defer close(p.done)
		endpoint := citronpier.Endpoint{Listener: listener, Handler: p.entry.PeerHandler()}
		if err := p.entry.Run(ctx, endpoint); err != nil && !p.isDead() && !errors.Is(err, net.ErrClosed) {
			w.t.Errorf("%s: %v", p.name, err)
		}
	}()
	return p
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
	case w.faults.down || w.faults.refused[caller]:
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

// upstream is a stand-in engine or service.
type upstream struct {
	world *world
	id    string
	// born numbers the incarnations.
	born   int64
	link   *standin.Link
	server *http.Server
	entry  descriptor.Upstream

	mu sync.Mutex
	// breaks says that the next answer is cut.
	breaks bool
	// ran has the ids of the requests that the upstream ran.
	ran map[string]bool
}

func (w *world) startUpstream(id, service string, born int64) *upstream {
	u := &upstream{world: w, id: id, born: born, link: standin.NewLink(w.network.Dial, w.network.Listen)}
	w.mu.Lock()
	w.started++
	address := w.network.Address(5000 + w.started)
	w.mu.Unlock()
	listener, err := u.link.Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	u.entry = descriptor.Upstream{ID: id, Address: address, DataCentre: "d", Service: service, Slots: 4, Born: born, Beat: 1}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	w.put(upstreams, id, u.entry)
	return u
}

func (u *upstream) stop() { _ = u.server.Close() }

// didRun reports whether the upstream ran a request.
func (u *upstream) didRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// ServeHTTP runs one request.
func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	if r.Header.Get("Instance") != u.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	u.world.mu.Lock()
	u.world.seen.ran[id] = append(u.world.seen.ran[id], body.String())
	u.world.mu.Unlock()
	u.mu.Lock()
	if u.ran == nil {
		u.ran = make(map[string]bool)
	}
	u.ran[id] = true
	breaks := u.breaks
	u.breaks = false
	u.mu.Unlock()
	rw.Header().Set("Id", id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		u.generate(rw, id, breaks)
		return
	}
	u.world.reach("tool")
	time.Sleep(20 * time.Millisecond)
	if breaks {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(rw, "did ", id)
}

func (u *upstream) generate(rw http.ResponseWriter, id string, breaks bool) {
	u.world.reach("sent")
	for i := 1; i <= events; i++ {
		time.Sleep(30 * time.Millisecond)
		if i == events {
			u.world.setStage("ending")
		}
		if breaks && i == events {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = http.NewResponseController(rw).Flush()
		if i == 1 {
			u.world.reach("event")
		}
	}
}

// output is what an upstream says of a turn, as it goes into the history.
func output(id string) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "%s-%d\n", id, i)
	}
	return b.String()
}

// sink is a caller's end of a request.
type sink struct {
	world *world
	host  *process
	// main says that the request belongs to the program whose budget is checked.
	main   bool
	status int
	body   strings.Builder
}

func (s *sink) Head(status int, _ http.Header, _ int64) { s.status = status }

// Body takes bytes of a process that lives.
func (s *sink) Body(p []byte) error {
	if !s.host.await() {
		return net.ErrClosed
	}
	s.body.Write(p)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.main {
		s.world.seen.handed += strings.Count(string(p), "data: ") * tokensPerEvent
	}
	return nil
}

// result is what a caller gets of one attempt.
type result struct {
	// whole says that the answer looks whole.
	whole  bool
	status int
	body   string
}

// send sends one attempt to a host and waits for a caller's time.
func (w *world) send(p *process, r descriptor.Request) result {
	w.mu.Lock()
	w.current = p
	w.stage = "beginning"
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := &sink{world: w, host: p, main: r.Program == "p"}
	done := make(chan forwarder.Outcome, 1)
	r.Deadline = time.Now().Add(patience)
	go func() {
		if !p.await() {
			return
		}
		done <- p.entry.Serve(ctx, r, s, time.Now())
	}()
	select {
	case o := <-done:
		if !p.await() {
			return result{}
		}
		return w.result(r, o, s)
	case <-ctx.Done():
		return result{}
	}
}

func (w *world) result(r descriptor.Request, o forwarder.Outcome, s *sink) result {
	switch o := o.(type) {
	case forwarder.Answered:
		w.setStage("answered")
		w.reach("answered")
		return result{whole: true, status: s.status, body: s.body.String()}
	case forwarder.Refused:
		status := o.Refusal.Reason.Status()
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusPaymentRequired {
			w.mu.Lock()
			w.seen.denied = append(w.seen.denied, r.ID)
			w.mu.Unlock()
		}
		return result{status: status, body: o.Refusal.Message}
	default:
		return result{}
	}
}
