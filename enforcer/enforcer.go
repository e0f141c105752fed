package enforcer

import (
	"net"
	"net/http"
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
	// HeaderBytes is the size limit of a request header, which the handler checks. The server
	// reads little more than that; 0 means no limit.
	HeaderBytes int64
}

// phase is the state of a connection, which decides the limit that applies. Connections in a
// phase with a lower number are closed first when there are too many.
type phase int

const (
	// idle: the connection waits for its next request; Limits.Idle applies.
	idle phase = iota
	// idleUntilHeader: as idle, and Limits.Idle was applied. The next deadline is for a header.
	idleUntilHeader
	// awaitingHeader: the server reads a request header; Limits.Header applies.
	awaitingHeader
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
	// Connections bounds the number of connections; nil sets no bound.
	Connections *Connections
	// Backlogs is the memory for responses that are read slowly. If it is nil, writes wait for
	// their readers.
	Backlogs *Backlogs
}

// Accept waits for the next connection and returns it with the limits applied, once there is
// room for it.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: c, limits: l.Limits, connections: l.Connections, phase: awaitingHeader, since: time.Now()}
	accepted.writer = newWriter(c, l.Backlogs, func() { l.Connections.remove(accepted) })
	l.Connections.admit(accepted)
	return accepted, nil
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
		wrapped.setPhase(idle, time.Now())
	case http.StateActive:
		wrapped.setPhase(inRequest, time.Now())
	}
}
