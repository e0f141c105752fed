package forwarder

import (
	"container/list"
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
	// overdueLeast is the shortest time after which an answer that has not begun
	// is overdue, and overdueTimes how many times the usual time it may take.
	overdueLeast = 300 * time.Millisecond
	overdueTimes = 4
	// erredPart is how much an answer counts as a failure in which an upstream
	// says that it failed: services do so now and then, and callers have an answer.
	erredPart = 0.25
	// telling is the share of failing requests from which on other hosts are told.
	telling = 0.1
	// eventPart is the weight of the time of one event, in results: some pauses
	// of an engine are usual.
	eventPart = 0.125
)

// Board holds what this host knows of the upstreams from the requests that it
// sent itself. It is safe for concurrent use; the zero value knows nothing.
type Board struct {
	mu        sync.Mutex
	upstreams map[string]*place
	// service has the smoothed time of a request at each service, and first that
	// until its answer begins.
	service map[string]time.Duration
	first   map[string]time.Duration
	// pace is the smoothed time between two events of an answer.
	pace map[string]time.Duration
}

// place is what is known of one upstream.
type place struct {
	hash    uint64
	service string
	running int
	// parts has the prompt parts that were sent to the upstream of late.
	parts *lru.Cache[string, int64]
	born  int64
	// avoid is until when the upstream is given nothing if another can take it.
	avoid  time.Time
	health health
	// waiting has the times at which requests were sent whose answers have not
	// begun, in order.
	waiting list.List
}

// overdue returns how many requests wait for longer than a time.
func (p *place) overdue(after time.Duration, now time.Time) int {
	count := 0
	for e := p.waiting.Front(); e != nil; e = e.Next() {
		if sent, ok := e.Value.(time.Time); !ok || now.Sub(sent) < after {
			break
		}
		count++
	}
	return count
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
	next := &place{hash: xxhash.Sum64String(u.ID), service: u.Service, parts: parts, born: u.Born}
	if ok {
		next.running = p.running
	}
	if b.upstreams == nil {
		b.upstreams = make(map[string]*place)
	}
	b.upstreams[u.ID] = next
	return next
}

// current returns the place of a visit's upstream, and whether it is that of the
// incarnation that was visited; nil where the upstream is forgotten. It needs mu
// to be held.
func (b *Board) current(v *visit) (p *place, same bool) {
	p = b.upstreams[v.upstream.ID]
	return p, p == v.place
}

// begin counts a request as under way at an upstream.
func (b *Board) begin(u descriptor.Upstream, prefix []descriptor.PromptPart, now time.Time) *visit {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.place(u)
	p.running++
	for _, part := range prefix {
		p.parts.Add(part.ID, part.Tokens)
	}
	return &visit{place: p, upstream: u, sentAt: now, waiting: p.waiting.PushBack(now)}
}

// answered notes that the answer to a request has begun.
func (b *Board) answered(v *visit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v.arrive()
	if b.first == nil {
		b.first = make(map[string]time.Duration)
	}
	smooth(b.first, v.upstream.Service, now.Sub(v.sentAt), firstService)
}

// passed notes how long each event of an answer took after the one before.
func (b *Board) passed(v *visit, each time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pace == nil {
		b.pace = make(map[string]time.Duration)
	}
	v.paced = true
	usual := smooth(b.pace, v.upstream.Service, each, each)
	if p, same := b.current(v); same {
		p.health = p.health.WithTime(multiple(each, usual), eventPart, now)
	}
}

// multiple returns how many times the usual time one took.
func multiple(took, usual time.Duration) float64 { return float64(took) / float64(max(usual, 1)) }

// end counts a request as ended. One that was broken off when it was overdue
// has failed.
func (b *Board) end(v *visit, r result, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.waiting != nil && r == unknown && now.Sub(v.sentAt) >= b.overdueAfter(v.upstream.Service) {
		r = failed
	}
	v.arrive()
	p, same := b.current(v)
	if p != nil {
		p.running--
	}
	if !same {
		// What became of an earlier incarnation says nothing of this one.
		return
	}
	switch r {
	case served:
		if b.service == nil {
			b.service = make(map[string]time.Duration)
		}
		took := now.Sub(v.sentAt)
		usual := smooth(b.service, v.upstream.Service, took, firstService)
		p.health = p.health.WithResult(0, now)
		if !v.paced {
			p.health = p.health.WithTime(multiple(took, usual), 1, now)
		}
	case erred:
		p.health = p.health.WithResult(erredPart, now)
	case failed:
		p.health = p.health.WithResult(1, now)
		p.avoid = now.Add(avoided)
	}
}

// smooth moves the time of a service towards a new one, and returns it. Before
// any was measured it is the given one.
func smooth(times map[string]time.Duration, service string, took, before time.Duration) time.Duration {
	old, ok := times[service]
	if !ok {
		old = before
	}
	times[service] = old + (took-old)/smoothing
	return times[service]
}

// overdueAfter returns how long an answer of a service may take to begin. It
// needs mu to be held.
func (b *Board) overdueAfter(service string) time.Duration {
	return max(overdueLeast, overdueTimes*b.first[service])
}

// OverdueAfter returns how long an answer of a service may take to begin before
// something seems wrong with its upstream.
func (b *Board) OverdueAfter(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overdueAfter(service)
}

// Loads returns what this host has to say of upstreams, by the hash of their id.
func (b *Board) Loads(now time.Time) map[uint64]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[uint64]Load)
	for _, p := range b.upstreams {
		failing := p.health.failing(p.overdue(b.overdueAfter(p.service), now), now)
		if failing < telling {
			failing = 0
		}
		stretch := p.health.slower(now)
		if stretch <= tolerated {
			stretch = 0
		}
		if p.running > 0 || failing > 0 || stretch > 0 {
			loads[p.hash] = Load{}.WithHost(p.running, failing, stretch)
		}
	}
	return loads
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
