package standin

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"github.com/citronpier/citronpier/internal/waiter"
)

const (
	// assumedLimit is the longest answer where a request sets none.
	assumedLimit = 256
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	ID string
	// Slots is the number of calls in the batch.
	Slots int
	// Step is the time between two tokens of a call.
	Step time.Duration
	// Prefill is the time for one prompt token that is not in cache.
	Prefill time.Duration
	// CacheTokens is the memory for prompt prefixes.
	CacheTokens int64
	// CrashOn makes the engine crash on prompts that contain the text.
	CrashOn string
}

// EngineRun is one call that an engine was sent.
type EngineRun struct {
	Call     string
	Session  string
	Priority int
	// Messages is the number of messages of the prompt.
	Messages int
	// Continued says that the call went on with an answer begun elsewhere.
	Continued bool
	// Prompt, Cached and Generated are in tokens.
	Prompt int64
	Cached int64
	// Elsewhere is the most of the prompt that another engine held.
	Elsewhere int64
	Generated int64
	Limit     int64
	Began     time.Time
	Ended     time.Time
	Done      bool
	// Crashed says that the call crashed the engine.
	Crashed bool
}

// An Engine batches continuously, holds prompt prefixes in limited memory,
// honours priorities, and resumes and cancels streams.
type Engine struct {
	Faults
	config EngineConfig
	// crash is called when a prompt crashes the engine.
	crash func()

	mu      sync.Mutex
	runs    []*EngineRun
	streams map[string]*generation
	waiting []*generation
	running int
	cache   prefixCache
	// epoch counts crashes; work of an earlier epoch ends.
	epoch context.Context
	end   context.CancelFunc
	order orderBook
	// peers lists the engines that Elsewhere is counted over.
	peers func() []*Engine
}

// NewEngine returns an engine.
func NewEngine(c EngineConfig) *Engine {
	e := &Engine{config: c, crash: func() {}}
	e.reset()
	return e
}

// OnCrash sets what happens besides the loss of all state when a prompt
// crashes the engine.
func (e *Engine) OnCrash(f func()) { e.crash = f }

// Reset drops all state, as a restart does.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

func (e *Engine) reset() {
	if e.end != nil {
		e.end()
	}
	e.epoch, e.end = context.WithCancel(context.Background())
	e.streams = make(map[string]*generation)
	e.waiting = nil
	e.running = 0
	e.cache = prefixCache{capacity: e.config.CacheTokens}
}

// Runs returns what the engine was sent, in order.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]EngineRun, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// CachedTokens returns the tokens held in cache.
func (e *Engine) CachedTokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.used
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.stop)
	mux.HandleFunc("DELETE /v1/sessions/{id}", e.evict)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("POST /v1/orders", e.order.serve)
	return e.wrap(mux)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<20))
	if err != nil || !gjson.ValidBytes(raw) {
		http.Error(w, "body is not valid", http.StatusBadRequest)
		return
	}
	if e.config.CrashOn != "" && bytes.Contains(raw, []byte(e.config.CrashOn)) {
		e.note(&EngineRun{Call: r.Header.Get("X-Request-Id"), Session: r.Header.Get("X-Request-Session-Id"), Began: time.Now(), Crashed: true})
		e.Reset()
		e.crash()
		abort()
	}
	e.reach(StepReceived, r.Header.Get("X-Request-Session-Id"))
	g := e.begin(r.Header, gjson.ParseBytes(raw))
	e.send(w, r, g, 0)
}

func (e *Engine) note(run *EngineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
}

func (e *Engine) begin(h http.Header, body gjson.Result) *generation {
	priority, _ := strconv.Atoi(h.Get("X-Request-Priority"))
	messages := body.Get("messages")
	text, already := prompt(body)
	limit := body.Get("max_tokens").Int()
	if limit == 0 {
		limit = assumedLimit
	}
	g := &generation{
		run: &EngineRun{
			Call: h.Get("X-Request-Id"), Session: h.Get("X-Request-Session-Id"),
			Priority: priority, Limit: limit, Began: time.Now(),
			Messages: len(messages.Array()), Continued: already > 0,
		},
		prompt: prefixes(messages),
		model:  body.Get("model").String(),
		turn:   make(chan struct{}),
		grown:  make(chan struct{}),
	}
	for _, p := range g.prompt {
		g.run.Prompt += p.tokens
	}
	g.words, g.finish = words(text, already, limit)
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(e.epoch)
	g.cancel = cancel
	e.runs = append(e.runs, g.run)
	e.streams[g.run.Call] = g
	e.waiting = append(e.waiting, g)
	e.fill()
	go e.generate(ctx, g)
	return g
}

// fill gives free slots to the waiting calls of the best priority.
func (e *Engine) fill() {
	slices.SortStableFunc(e.waiting, func(a, b *generation) int {
		return cmp.Compare(a.run.Priority, b.run.Priority)
	})
	for e.running < max(1, e.config.Slots) && len(e.waiting) > 0 {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		close(g.turn)
	}
}

func (e *Engine) generate(ctx context.Context, g *generation) {
	select {
	case <-g.turn:
	case <-ctx.Done():
		e.leave(ctx, g, false)
		return
	}
	elsewhere := e.elsewhere(g.prompt)
	e.mu.Lock()
	g.run.Cached = e.cache.lookup(g.prompt)
	g.run.Elsewhere = elsewhere
	e.mu.Unlock()
	waiter.Sleep(ctx, e.config.Prefill*time.Duration(g.run.Prompt-g.run.Cached))
	for i, word := range g.words {
		waiter.Sleep(ctx, e.config.Step)
		if ctx.Err() != nil {
			e.leave(ctx, g, true)
			return
		}
		finish := ""
		if i == len(g.words)-1 {
			finish = g.finish
		}
		e.mu.Lock()
		g.run.Generated++
		e.mu.Unlock()
		g.add(chunk(g, word, finish))
		e.generated(g, i)
	}
	if len(g.words) == 0 {
		g.add(chunk(g, "", g.finish))
	}
	g.add(usageChunk(g))
	e.reach(StepGenerated, g.run.Session)
	e.leave(ctx, g, true)
}

// SetPeers sets the engines that Elsewhere is counted over.
func (e *Engine) SetPeers(peers func() []*Engine) { e.peers = peers }

func (e *Engine) elsewhere(prompt []prefix) int64 {
	if e.peers == nil {
		return 0
	}
	var most int64
	for _, other := range e.peers() {
		if other != e {
			most = max(most, other.holds(prompt))
		}
	}
	return most
}

func (e *Engine) holds(prompt []prefix) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.peek(prompt)
}

// midStream is the token at which StepMidStream is reached, from 0.
const midStream = 3

// generated tells of the tokens at which tests strike.
func (e *Engine) generated(g *generation, token int) {
	switch token {
	case 0:
		e.reach(StepFirstToken, g.run.Session)
	case midStream:
		e.reach(StepMidStream, g.run.Session)
	}
}

// leave ends a call: it gives its slot back and holds its prompt in cache.
func (e *Engine) leave(ctx context.Context, g *generation, ran bool) {
	g.complete()
	e.mu.Lock()
	defer e.mu.Unlock()
	g.run.Ended = time.Now()
	g.run.Done = ctx.Err() == nil
	if e.epoch.Err() != nil || e.streams[g.run.Call] != g {
		return
	}
	if !ran {
		e.waiting = slices.DeleteFunc(e.waiting, func(o *generation) bool { return o == g })
		return
	}
	e.running--
	e.cache.hold(g.run.Session, g.prompt)
	e.fill()
}

func (e *Engine) find(id string) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.streams[id]
	return g, ok
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	g, ok := e.find(r.PathValue("id"))
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	from, _ := strconv.Atoi(r.FormValue("from"))
	e.send(w, r, g, from)
}

func (e *Engine) stop(w http.ResponseWriter, r *http.Request) {
	if g, ok := e.find(r.PathValue("id")); ok {
		g.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) evict(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.evict(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, struct {
		Running int   `json:"running"`
		Waiting int   `json:"waiting"`
		Cached  int64 `json:"cached"`
	}{e.running, len(e.waiting), e.cache.used})
}
