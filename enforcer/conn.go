package enforcer

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// headerFactor and headerSlack set how much of a header is read, so that one that is just
	// over the limit still gets its response.
	headerFactor = 2
	headerSlack  = 8 << 10
)

// conn is a connection that applies the limits in force: it shortens the read deadlines that
// net/http sets, bounds the bytes of a header, and holds little for a slow reader.
type conn struct {
	net.Conn
	limits      func() Limits
	connections *Connections
	// writer is nil if writes wait for their reader.
	writer *writer

	mu sync.Mutex
	// phase is the state at the next call of SetReadDeadline, and since is when it began.
	phase phase
	since time.Time
	// headerBytes is what was read in the phase awaitingHeader.
	headerBytes int64
}

// HeaderTooLargeError reports a header of more bytes than are read.
type HeaderTooLargeError struct{ Limit int64 }

// Error implements the error interface.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("the header is larger than %d bytes", e.Limit)
}

func (c *conn) setPhase(p phase, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.headerBytes = p, now, 0
	if c.writer != nil && p == inRequest {
		c.writer.setDeadline(time.Time{})
	}
}

// state returns the phase and when it began.
func (c *conn) state() (phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since
}

// Read reads from the connection. The error of a header that is too large is a
// *HeaderTooLargeError.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headerErr := c.countHeader(n); headerErr != nil {
		return 0, headerErr
	}
	return n, err
}

// countHeader counts bytes that were read.
func (c *conn) countHeader(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inRequest {
		return nil
	}
	c.headerBytes += int64(n)
	if c.headerBytes <= headerSlack {
		return nil
	}
	if limit := c.limits().HeaderBytes; limit > 0 && c.headerBytes > headerFactor*limit+headerSlack {
		return &HeaderTooLargeError{Limit: limit}
	}
	return nil
}

// Write writes to the connection. It waits for a slow reader only while much was written that
// the reader has not taken; the error is a *SlowReaderError then.
func (c *conn) Write(p []byte) (int, error) {
	if c.writer == nil {
		return c.Conn.Write(p)
	}
	return c.writer.write(p)
}

// SetWriteDeadline bounds how long later writes wait for a slow reader.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if c.writer == nil {
		return c.Conn.SetWriteDeadline(t)
	}
	c.writer.setDeadline(t)
	return nil
}

// CloseWrite ends the connection in the direction of the caller, so that a caller that still
// sends can read its response.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.writer != nil && c.writer.waits() {
		return nil
	}
	return half.CloseWrite()
}

// Close closes the connection, once its reader has taken what was written.
func (c *conn) Close() error {
	if c.writer == nil {
		c.connections.remove(c)
		return c.Conn.Close()
	}
	return c.writer.close()
}

// discard closes the connection at once.
func (c *conn) discard() {
	if c.writer != nil && c.writer.waits() {
		c.writer.cut()
		return
	}
	_ = c.Close()
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
		c.phase = idleUntilHeader
	case idleUntilHeader, awaitingHeader:
		limit = c.limits().Header
		if c.phase != awaitingHeader {
			c.since = now
		}
		c.phase = awaitingHeader
	}
	c.mu.Unlock()
	if limited := now.Add(limit); limit > 0 && limited.Before(t) {
		return limited
	}
	return t
}
