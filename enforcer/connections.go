package enforcer

import (
	"sync"
	"time"
)

// fullPause is the time between two attempts to make room for a connection.
const fullPause = 10 * time.Millisecond

// Connections bounds the number of open connections of callers. When there are too many, the
// one that has been idle for the longest time is closed, and if none is idle, the one that has
// been sending a header for the longest time. While all carry requests, no more are served. It
// is safe for concurrent use; nil sets no bound.
type Connections struct {
	max int
	// relieve ends a request that a caller sends too slowly, if there is one.
	relieve func(now time.Time) bool

	mu   sync.Mutex
	open map[*conn]struct{}
	// closed counts the connections that were closed to make room.
	closed int64
}

// NewConnections returns Connections with a maximum. If all connections carry requests, relieve
// is called; it may end one.
func NewConnections(maximum int, relieve func(now time.Time) bool) *Connections {
	return &Connections{max: maximum, relieve: relieve, open: make(map[*conn]struct{})}
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Closed returns the number of connections that were closed to make room.
func (c *Connections) Closed() int64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// admit waits until there is room for a connection, and adds it.
func (c *Connections) admit(added *conn) {
	if c == nil {
		return
	}
	for !c.add(added) {
		if surplus := c.surplus(); surplus != nil {
			surplus.discard()
			continue
		}
		c.relieve(time.Now())
		time.Sleep(fullPause)
	}
}

// add adds a connection if there is room.
func (c *Connections) add(added *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.max {
		return false
	}
	c.open[added] = struct{}{}
	return true
}

// surplus returns the connection to be closed for another one, or nil if all carry requests.
func (c *Connections) surplus() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chosen *conn
	var best phase
	var since time.Time
	for candidate := range c.open {
		p, at := candidate.state()
		if p == inRequest || chosen != nil && (p > best || p == best && !at.Before(since)) {
			continue
		}
		chosen, best, since = candidate, p, at
	}
	if chosen != nil {
		c.closed++
	}
	return chosen
}

// remove removes a connection that is closed.
func (c *Connections) remove(removed *conn) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, removed)
}
