package enforcer

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound the time of a caller's connection.
type Limits struct {
	// Header is how long a header may take; 0 leaves it to the server.
	Header time.Duration
	// Idle is how long a connection may be without a request; 0 leaves it to the
	// server.
	Idle time.Duration
}

// phase is what a connection waits for.
type phase int

const (
	header phase = iota
	idle
	request
)

// Listener accepts connections that keep to limits which may change at any time.
// The server calls State for each change of a connection; the server's own limits
// have to be above the ones here.
type Listener struct {
	net.Listener
	// Limits returns the limits in force.
	Limits func() Limits
}

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.Limits}, nil
}

// State notes what a server says of a connection, see [http.Server.ConnState].
func State(c net.Conn, s http.ConnState) {
	limited, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		limited.enter(idle)
	case http.StateActive:
		limited.enter(request)
	}
}

// conn is a connection that tightens the deadlines which its server sets.
type conn struct {
	net.Conn
	limits func() Limits

	mu    sync.Mutex
	phase phase
}

func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

// SetReadDeadline sets the server's deadline, or an earlier one by the limit of
// what the connection waits for.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.tighten(t, time.Now()))
}

func (c *conn) tighten(t, now time.Time) time.Time {
	if !t.After(now) {
		// No deadline, or one that breaks off a read.
		return t
	}
	var limit time.Duration
	c.mu.Lock()
	switch c.phase {
	case idle:
		limit = c.limits().Idle
		c.phase = header
	case header:
		limit = c.limits().Header
	}
	c.mu.Unlock()
	if tight := now.Add(limit); limit > 0 && tight.Before(t) {
		return tight
	}
	return t
}
