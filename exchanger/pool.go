package exchanger

import (
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
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's Keep-Alive timeout, so that a
	// request is not sent while the upstream closes the connection.
	idleMargin = time.Second
	// maxIdleTimeout is the longest time that a connection may be idle and still be
	// used again. A connection may fail unnoticed while it is idle, so longer
	// Keep-Alive timeouts are reduced to this value.
	maxIdleTimeout = 10 * time.Second
)

// incarnationKey identifies one incarnation of an upstream, that is, one run of its
// process. The address alone is not enough because another upstream may get the same
// address later.
type incarnationKey struct {
	address     string
	id          string
	incarnation int64
}

// keyOf returns the key of an upstream's present incarnation.
func keyOf(u descriptor.Upstream) incarnationKey {
	return incarnationKey{address: u.Address, id: u.ID, incarnation: u.Incarnation}
}

// pool is the connection pool of an Exchanger. Its dial and stats must be set; no
// connection limit applies until setLimit is called.
type pool struct {
	dial  connector.Dial
	stats *Stats

	mu sync.Mutex
	// limit is the maximum number of connections to each upstream; 0 is no limit.
	limit int
	// idle holds the idle connections to each upstream, the most recently used
	// connection last.
	idle map[incarnationKey][]*conn
	// open counts the connections to each upstream, including idle connections.
	open map[incarnationKey]int
	// idleLimit is the longest time that a connection may have been idle to be
	// used again.
	idleLimit idleLimit
}

// ConnectionLimitError reports that all connections which this host may have to an
// upstream are in use.
type ConnectionLimitError struct{ Limit int }

// Error implements the error interface.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("connection limit reached: all %d connections are in use", e.Limit)
}

// setLimit implements Exchanger.WithLimit.
func (p *pool) setLimit(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = connections
}

// acquire returns an idle connection that is safe to use, or opens a new one. It
// closes idle connections that are too old or have received unexpected input.
func (p *pool) acquire(ctx context.Context, u descriptor.Upstream, now time.Time) (*conn, error) {
	k := keyOf(u)
	for {
		c, found, err := p.takeIdleOrReserve(k)
		if err != nil {
			return nil, err
		}
		if !found {
			return p.openConn(ctx, k)
		}
		c.idleFor = now.Sub(c.idleSince)
		if now.Before(c.expires) && c.idleFor <= p.maxIdle(now) && c.noInputPending() {
			p.stats.Reused.Add(1)
			return c, nil
		}
		p.stats.Stale.Add(1)
		c.close()
	}
}

// HasIdle reports whether an idle connection to an upstream is likely to be usable.
func (e *Exchanger) HasIdle(u descriptor.Upstream, now time.Time) bool {
	p := &e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[keyOf(u)]
	if len(idle) == 0 {
		return false
	}
	newest := idle[len(idle)-1]
	return now.Before(newest.expires) && now.Sub(newest.idleSince) <= p.idleLimit.maxIdle(now)
}

// takeIdleOrReserve returns the most recently used idle connection and true. If there
// is none, it counts a new connection towards the limit and returns false; the caller
// then opens the connection. If the limit is reached, it returns a
// *ConnectionLimitError.
func (p *pool) takeIdleOrReserve(k incarnationKey) (*conn, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle := p.idle[k]; len(idle) > 0 {
		c := idle[len(idle)-1]
		p.idle[k] = idle[:len(idle)-1]
		return c, true, nil
	}
	return nil, false, p.reserve(k)
}

// reserve counts a new connection towards the limit. It returns a *ConnectionLimitError if
// the limit is reached. The caller must hold mu.
func (p *pool) reserve(k incarnationKey) error {
	if p.limit > 0 && p.open[k] >= p.limit {
		return &ConnectionLimitError{Limit: p.limit}
	}
	if p.open == nil {
		p.open = make(map[incarnationKey]int)
	}
	p.open[k]++
	return nil
}

// openConn opens a connection that reserve has already counted.
func (p *pool) openConn(ctx context.Context, k incarnationKey) (*conn, error) {
	raw, err := p.dial(ctx, "tcp", k.address)
	if err != nil {
		p.releaseSlot(k)
		return nil, fmt.Errorf("connect: %w", err)
	}
	p.stats.Opened.Add(1)
	return newConn(raw, k, p), nil
}

// maxIdle returns the longest idle time after which a connection may be used
// again.
func (p *pool) maxIdle(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleLimit.maxIdle(now)
}

// recordIdleLoss records that a connection failed on reuse after it was idle for
// idleFor, and lowers the idle limit of all connections.
func (p *pool) recordIdleLoss(idleFor time.Duration, now time.Time) {
	p.stats.IdleLost.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit = p.idleLimit.WithLoss(idleFor, now)
}

// releaseSlot subtracts a closed connection from the open connections.
func (p *pool) releaseSlot(k incarnationKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[k]--
	if p.open[k] <= 0 {
		delete(p.open, k)
	}
}

// release returns a connection to the pool after the complete response was read; h is
// the header of the response. A connection that cannot be used again is closed.
func (p *pool) release(c *conn, h http.Header) {
	if c.notReusable || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.usedBefore = true
	c.shrink()
	p.keep(c, h)
}

// keepUnused returns a connection that was acquired and not used. A connection that has
// carried a request is closed: when the upstream closes it is no longer known.
func (p *pool) keepUnused(c *conn) {
	if c.usedBefore {
		c.close()
		return
	}
	p.keep(c, nil)
}

// keep adds an idle connection to the pool.
func (p *pool) keep(c *conn, h http.Header) {
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(idleTimeout(h))
	p.mu.Lock()
	if p.idle == nil {
		p.idle = make(map[incarnationKey][]*conn)
	}
	p.idle[c.key] = append(p.idle[c.key], c)
	p.mu.Unlock()
}

// Prune closes idle connections that have expired and idle connections to
// upstreams for which listed returns false.
func (e *Exchanger) Prune(listed func(id string) bool, now time.Time) {
	for _, c := range e.pool.removeExpired(listed, now) {
		c.close()
	}
}

// Close closes the idle connections. Requests in flight continue.
func (e *Exchanger) Close() { e.Prune(func(string) bool { return false }, time.Time{}) }

// removeExpired removes from the pool, and returns, the idle connections that
// Prune closes.
func (p *pool) removeExpired(listed func(id string) bool, now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*conn
	for k, idle := range p.idle {
		var unexpired []*conn
		for _, c := range idle {
			if listed(k.id) && now.Before(c.expires) {
				unexpired = append(unexpired, c)
			} else {
				removed = append(removed, c)
			}
		}
		if len(unexpired) == 0 {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = unexpired
	}
	return removed
}

// idleTimeout returns how long a connection may stay idle in the pool, from the
// Keep-Alive field of the last response's header.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(maxIdleTimeout, max(0, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return defaultIdleTimeout
}
