package enforcer

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits are the time limits of a caller's connection.
type Limits struct {
	// Header is the time in which a request header must arrive; 0 means that only
	// the server's ReadHeaderTimeout applies.
	Header time.Duration
	// Idle is how long a connection may wait for its next request; 0 means that
	// only the server's IdleTimeout applies.
	Idle time.Duration
}

// phase is the state of a connection, which decides the limit that applies.
type phase int

const (
	// awaitingHeader: the server reads a request header; Limits.Header applies.
	awaitingHeader phase = iota
	// idle: the connection waits for its next request; Limits.Idle applies.
	idle
	// inRequest: the server handles a request; no limit applies.
	inRequest
)

// Listener accepts connections on which the limits in force are applied. The
// http.Server that uses it must use the function ConnState as its hook. A limit can only
// shorten the server's ReadHeaderTimeout and IdleTimeout, so these must be set and
// be longer than any limit.
type Listener struct {
	net.Listener
	// Limits returns the limits in force. It is called each time that a read
	// deadline is set, and so must be safe for concurrent use.
	Limits func() Limits
}

// Accept waits for the next connection and returns it with the limits applied.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.Limits}, nil
}

// ConnState records the new state of a connection. It is the hook to set as
// [http.Server.ConnState]. Connections that no Listener accepted are ignored.
func ConnState(c net.Conn, s http.ConnState) {
	wrapped, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		wrapped.setPhase(idle)
	case http.StateActive:
		wrapped.setPhase(inRequest)
	}
}

// conn is a connection that applies the limits in force: it shortens the read
// deadlines that net/http sets.
type conn struct {
	net.Conn
	limits func() Limits

	mu sync.Mutex
	// phase is the state at the next call of SetReadDeadline.
	phase phase
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

// SetReadDeadline sets the read deadline to t, or to an earlier time if the limit
// that applies in the connection's phase ends before t.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.applyLimit(t, time.Now()))
}

// applyLimit returns the deadline t, shortened to the limit that applies. After
// net/http has set the deadline of an idle connection, the next deadline that it sets
// is for a request header.
func (c *conn) applyLimit(t, now time.Time) time.Time {
	if !t.After(now) {
		// The server removes the deadline (zero time) or interrupts a pending
		// read (time in the past).
		return t
	}
	var limit time.Duration
	c.mu.Lock()
	switch c.phase {
	case idle:
		limit = c.limits().Idle
		c.phase = awaitingHeader
	case awaitingHeader:
		limit = c.limits().Header
	}
	c.mu.Unlock()
	if limited := now.Add(limit); limit > 0 && limited.Before(t) {
		return limited
	}
	return t
}
