package forwarder

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/citronpier/citronpier/descriptor"
)

const (
	// partsKept bounds the prompt parts that are remembered of one upstream.
	partsKept = 512
	// firstService is the expected time of a request before any was measured.
	firstService = 50 * time.Millisecond
	// smoothing is the weight of the newest measurement, as a divisor.
	smoothing = 16
	// avoided is how long an upstream that failed a request is avoided.
	avoided = 300 * time.Millisecond
)

// Board holds what this host knows of the upstreams from the requests that it
// sent itself. It is safe for concurrent use; the zero value knows nothing.
type Board struct {
	mu        sync.Mutex
	upstreams map[string]*place
	// service has the smoothed time of a request at each service.
	service map[string]time.Duration
}

// place is what is known of one upstream.
type place struct {
	hash    uint64
	running int
	// parts has the prompt parts that were sent to the upstream of late.
	parts *lru.Cache[string, int64]
	born  int64
	// avoid is until when the upstream is given nothing if another can take it.
	avoid time.Time
}

// place returns the place of an upstream. It needs mu to be held.
func (b *Board) place(u descriptor.Upstream) *place {
	p, ok := b.upstreams[u.ID]
	if ok && p.born == u.Born {
		return p
	}
	parts, err := lru.New[string, int64](partsKept)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	next := &place{hash: xxhash.Sum64String(u.ID), parts: parts, born: u.Born}
	if ok {
		next.running = p.running
	}
	if b.upstreams == nil {
		b.upstreams = make(map[string]*place)
	}
	b.upstreams[u.ID] = next
	return next
}

// Begin counts a request as under way at an upstream.
func (b *Board) Begin(u descriptor.Upstream, prefix []descriptor.PromptPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.place(u)
	p.running++
	for _, part := range prefix {
		p.parts.Add(part.ID, part.Tokens)
	}
}

// End counts a request as ended. A time of 0 was not measured.
func (b *Board) End(u descriptor.Upstream, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.place(u).running--
	if took <= 0 {
		return
	}
	if b.service == nil {
		b.service = make(map[string]time.Duration)
	}
	old, ok := b.service[u.Service]
	if !ok {
		old = firstService
	}
	b.service[u.Service] = old + (took-old)/smoothing
}

// Avoid keeps requests away from an upstream that failed one.
func (b *Board) Avoid(u descriptor.Upstream, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.place(u).avoid = now.Add(avoided)
}

// Running returns the requests under way at each upstream, by the hash of its id.
func (b *Board) Running() map[uint64]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := make(map[uint64]int)
	for _, p := range b.upstreams {
		if p.running > 0 {
			running[p.hash] = p.running
		}
	}
	return running
}

// Prune forgets the upstreams that are no longer listed.
func (b *Board) Prune(listed func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.upstreams {
		if p.running == 0 && !listed(id) {
			delete(b.upstreams, id)
		}
	}
}

// cached returns the tokens of a prompt that an upstream was sent before.
func (p *place) cached(prefix []descriptor.PromptPart) int64 {
	var tokens int64
	for _, part := range prefix {
		if _, ok := p.parts.Peek(part.ID); !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
