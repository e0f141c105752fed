package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
)

const (
	// defaultIdle is how long an idle connection is kept where the upstream
	// names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the upstream closes an idle connection it
	// is no longer used.
	idleMargin = time.Second
	// longestIdle bounds the time for which an idle connection is trusted: a
	// connection that went silent is not found before it is used.
	longestIdle = 10 * time.Second
)

// key names one incarnation of an upstream. Addresses are used again.
type key struct {
	address string
	id      string
	born    int64
}

// pool holds the connections to upstreams. The zero value is empty and has no
// limit.
type pool struct {
	dial  connector.Dial
	stats *Stats

	mu    sync.Mutex
	limit int
	idle  map[key][]*conn
	// open counts the connections to each upstream, idle ones included.
	open map[key]int
	// trust bounds the rest of a connection that is used again.
	trust trust
}

// CrowdedError says that this host has as many connections to an upstream as
// it may have.
type CrowdedError struct{ Limit int }

// Error describes the failure.
func (e *CrowdedError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

func (p *pool) setLimit(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = connections
}

// take returns an idle connection or opens a new one.
func (p *pool) take(ctx context.Context, u descriptor.Upstream, now time.Time) (*conn, error) {
	k := key{address: u.Address, id: u.ID, born: u.Born}
	for {
		c, found, err := p.reserve(k)
		if err != nil {
			return nil, err
		}
		if !found {
			return p.connect(ctx, k)
		}
		c.rested = now.Sub(c.idleSince)
		if now.Before(c.expires) && c.rested <= p.longestRest(now) && c.quiet() {
			p.stats.Reused.Add(1)
			return c, nil
		}
		p.stats.Stale.Add(1)
		c.close()
	}
}

// reserve returns the last used idle connection, or counts a new one.
func (p *pool) reserve(k key) (*conn, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle := p.idle[k]; len(idle) > 0 {
		c := idle[len(idle)-1]
		p.idle[k] = idle[:len(idle)-1]
		return c, true, nil
	}
	if p.limit > 0 && p.open[k] >= p.limit {
		return nil, false, &CrowdedError{Limit: p.limit}
	}
	if p.open == nil {
		p.open = make(map[key]int)
	}
	p.open[k]++
	return nil, false, nil
}

func (p *pool) connect(ctx context.Context, k key) (*conn, error) {
	raw, err := p.dial(ctx, "tcp", k.address)
	if err != nil {
		p.closed(k)
		return nil, fmt.Errorf("connect: %w", err)
	}
	p.stats.Opened.Add(1)
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), key: k, pool: p}, nil
}

func (p *pool) longestRest(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trust.at(now)
}

// lost notes that a connection was lost when it was used after a rest.
func (p *pool) lost(rested time.Duration, now time.Time) {
	p.stats.Dropped.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trust = p.trust.WithLoss(rested, now)
}

// closed counts a connection as gone.
func (p *pool) closed(k key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[k]--
	if p.open[k] <= 0 {
		delete(p.open, k)
	}
}

// put gives a connection back after a whole answer with the given header.
func (p *pool) put(c *conn, h http.Header) {
	if c.unfinished || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.used = true
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(idleTime(h))
	p.mu.Lock()
	if p.idle == nil {
		p.idle = make(map[key][]*conn)
	}
	p.idle[c.key] = append(p.idle[c.key], c)
	p.mu.Unlock()
}

// Prune closes the idle connections that have expired and those to upstreams
// that are no longer listed.
func (e *Exchanger) Prune(listed func(id string) bool, now time.Time) {
	for _, c := range e.pool.expired(listed, now) {
		c.close()
	}
}

// Close closes the idle connections.
func (e *Exchanger) Close() { e.Prune(func(string) bool { return false }, time.Time{}) }

func (p *pool) expired(listed func(id string) bool, now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var gone []*conn
	for k, idle := range p.idle {
		var kept []*conn
		for _, c := range idle {
			if listed(k.id) && now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				gone = append(gone, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = kept
	}
	return gone
}

// idleTime returns how long an upstream keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(longestIdle, max(0, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return defaultIdle
}
