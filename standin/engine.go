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
	// defaultMaxTokens limits the answer to a request without max_tokens.
	defaultMaxTokens = 256
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	ID string
	// Slots is the number of calls that run at the same time; 0 means 1.
	Slots int
	// Step is the time to generate one token of a call.
	Step time.Duration
	// Prefill is the time to process one prompt token that is not cached.
	Prefill time.Duration
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int64
	// CrashOn crashes the engine when a request body contains this text; empty
	// disables crashes.
	CrashOn string
}

// EngineRun records one call that an engine received.
type EngineRun struct {
	Call     string
	Session  string
	Priority int
	// Messages is the number of messages of the prompt.
	Messages int
	// Continued reports whether the call continued a partial answer that an
	// earlier attempt generated.
	Continued bool
	// Prompt is the length of the prompt, in tokens.
	Prompt int64
	// Cached is the number of prompt tokens found in this engine's cache.
	Cached int64
	// PeerCached is the largest number of prompt tokens that any peer engine had
	// in its cache when the call got its slot.
	PeerCached int64
	// Generated is the number of answer tokens generated so far, and Limit is
	// the maximum length of the answer in tokens.
	Generated int64
	Limit     int64
	// Began is when the engine received the call, before any queueing.
	Began time.Time
	Ended time.Time
	// Done reports whether the call ended without being cancelled.
	Done bool
	// Crashed reports whether the call crashed the engine.
	Crashed bool
}

// An Engine is a fake model server. It runs at most Slots calls at the same time,
// and queues further calls by priority. It caches prompt prefixes in limited
// memory, and lets clients resume and cancel streams.
type Engine struct {
	Faults
	config EngineConfig
	// crash is called after a request has crashed the engine.
	crash func()

	mu   sync.Mutex
	runs []*EngineRun
	// streams has the calls since the last reset, by call id.
	streams map[string]*generation
	// waiting has the calls that wait for a slot.
	waiting []*generation
	// running is the number of slots in use.
	running int
	cache   prefixCache
	// lifetime is cancelled by a crash or a reset, and replaced. Its cancellation
	// stops all calls that began before the crash or the reset.
	lifetime    context.Context
	endLifetime context.CancelFunc
	orders      orderBook
	// peers returns the engines to search for EngineRun.PeerCached. They
	// may include this engine, which is then skipped. Nil means no peers.
	peers func() []*Engine
}

// NewEngine returns an idle engine with an empty cache.
func NewEngine(c EngineConfig) *Engine {
	e := &Engine{config: c, crash: func() {}}
	e.reset()
	return e
}

// OnCrash sets a function that is called when a request crashes the engine,
// after the engine has lost its state. Call OnCrash before the engine serves.
func (e *Engine) OnCrash(f func()) { e.crash = f }

// Reset cancels all calls and drops the cache and the streams, as a restart
// does. It keeps the calls that Runs returns.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

func (e *Engine) reset() {
	if e.endLifetime != nil {
		e.endLifetime()
	}
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.streams = make(map[string]*generation)
	e.waiting = nil
	e.running = 0
	e.cache = prefixCache{capacity: e.config.CacheTokens}
}

// Runs returns the calls that the engine received, in order of arrival.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]EngineRun, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// CachedTokens returns the number of tokens in the prefix cache.
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
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancelStream)
	mux.HandleFunc("DELETE /v1/sessions/{id}", e.evict)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("POST /v1/orders", e.orders.serve)
	return e.wrap(mux)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 64<<20))
	if err != nil || !gjson.ValidBytes(raw) {
		http.Error(w, "body is not valid", http.StatusBadRequest)
		return
	}
	if e.config.CrashOn != "" && bytes.Contains(raw, []byte(e.config.CrashOn)) {
		e.recordRun(&EngineRun{Call: r.Header.Get("X-Request-Id"), Session: r.Header.Get("X-Request-Session-Id"), Began: time.Now(), Crashed: true})
		e.Reset()
		e.crash()
		abort()
	}
	e.reach(StepReceived, r.Header.Get("X-Request-Session-Id"))
	g := e.enqueue(r.Header, gjson.ParseBytes(raw))
	e.send(w, r, g, 0)
}

func (e *Engine) recordRun(run *EngineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
}

// enqueue records a call, queues it and starts its generation.
func (e *Engine) enqueue(h http.Header, body gjson.Result) *generation {
	priority, _ := strconv.Atoi(h.Get("X-Request-Priority"))
	messages := body.Get("messages")
	text, start := parsePrompt(body)
	limit := body.Get("max_tokens").Int()
	if limit == 0 {
		limit = defaultMaxTokens
	}
	g := &generation{
		run: &EngineRun{
			Call: h.Get("X-Request-Id"), Session: h.Get("X-Request-Session-Id"),
			Priority: priority, Limit: limit, Began: time.Now(),
			Messages: len(messages.Array()), Continued: start > 0,
		},
		prompt:   prefixes(messages),
		model:    body.Get("model").String(),
		admitted: make(chan struct{}),
		changed:  make(chan struct{}),
	}
	for _, p := range g.prompt {
		g.run.Prompt += p.tokens
	}
	g.words, g.finish = answerWords(text, start, limit)
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(e.lifetime)
	g.cancel = cancel
	e.runs = append(e.runs, g.run)
	e.streams[g.run.Call] = g
	e.waiting = append(e.waiting, g)
	e.admitWaiting()
	go e.generate(ctx, g)
	return g
}

// admitWaiting gives free slots to the waiting calls, lowest priority value
// first. The caller must hold e.mu.
func (e *Engine) admitWaiting() {
	slices.SortStableFunc(e.waiting, func(a, b *generation) int {
		return cmp.Compare(a.run.Priority, b.run.Priority)
	})
	for e.running < max(1, e.config.Slots) && len(e.waiting) > 0 {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		close(g.admitted)
	}
}

// generate waits for a slot, then generates the answer token by token. It
// continues when the client disconnects, so that the stream can be resumed.
func (e *Engine) generate(ctx context.Context, g *generation) {
	select {
	case <-g.admitted:
	case <-ctx.Done():
		e.endCall(ctx, g, false)
		return
	}
	peerCached := e.longestPeerPrefix(g.prompt)
	e.mu.Lock()
	g.run.Cached = e.cache.lookup(g.prompt)
	g.run.PeerCached = peerCached
	e.mu.Unlock()
	waiter.Sleep(ctx, e.config.Prefill*time.Duration(g.run.Prompt-g.run.Cached))
	for i, word := range g.words {
		waiter.Sleep(ctx, e.config.Step)
		if ctx.Err() != nil {
			e.endCall(ctx, g, true)
			return
		}
		finish := ""
		if i == len(g.words)-1 {
			finish = g.finish
		}
		e.mu.Lock()
		g.run.Generated++
		e.mu.Unlock()
		g.appendChunk(chunk(g, word, finish))
		e.reportProgress(g, i)
	}
	if len(g.words) == 0 {
		g.appendChunk(chunk(g, "", g.finish))
	}
	g.appendChunk(usageChunk(g))
	e.reach(StepGenerated, g.run.Session)
	e.endCall(ctx, g, true)
}

// SetPeers sets the function that returns the engines to search for
// EngineRun.PeerCached. Call SetPeers before the engine serves.
func (e *Engine) SetPeers(peers func() []*Engine) { e.peers = peers }

// longestPeerPrefix returns the number of tokens in the longest prefix of a prompt
// that any peer has cached.
func (e *Engine) longestPeerPrefix(prompt []prefix) int64 {
	if e.peers == nil {
		return 0
	}
	var longest int64
	for _, other := range e.peers() {
		if other != e {
			longest = max(longest, other.cachedTokens(prompt))
		}
	}
	return longest
}

func (e *Engine) cachedTokens(prompt []prefix) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.peek(prompt)
}

// midStreamToken is the index of a token of an answer. The engine reports
// StepMidStream after it has generated this token. The first token has index 0.
const midStreamToken = 3

// reportProgress is called after the token with the given index was generated. It
// reports StepFirstToken for index 0, and StepMidStream for midStreamToken.
func (e *Engine) reportProgress(g *generation, token int) {
	switch token {
	case 0:
		e.reach(StepFirstToken, g.run.Session)
	case midStreamToken:
		e.reach(StepMidStream, g.run.Session)
	}
}

// endCall ends a call. If ran is true, the call had a slot: endCall frees the slot
// and caches the prompt. Otherwise it removes the call from the queue. If the
// engine was reset after the call began, endCall does not change the slots, the
// cache or the queue, because they belong to later calls.
func (e *Engine) endCall(ctx context.Context, g *generation, ran bool) {
	g.markDone()
	e.mu.Lock()
	defer e.mu.Unlock()
	g.run.Ended = time.Now()
	g.run.Done = ctx.Err() == nil
	if e.lifetime.Err() != nil || e.streams[g.run.Call] != g {
		return
	}
	if !ran {
		e.waiting = slices.DeleteFunc(e.waiting, func(o *generation) bool { return o == g })
		return
	}
	e.running--
	e.cache.insert(g.run.Session, g.prompt)
	e.admitWaiting()
}

func (e *Engine) find(id string) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.streams[id]
	return g, ok
}

// resume sends the stream of a call again, beginning with the chunk at the index
// that the request's parameter "from" gives.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	g, ok := e.find(r.PathValue("id"))
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	from, _ := strconv.Atoi(r.FormValue("from"))
	e.send(w, r, g, from)
}

func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
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
