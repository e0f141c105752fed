package enforcer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// headerFactor and headerSlack set how much of a header is read, so that one that is just
	// over the limit still gets its response.
	headerFactor = 2
	headerSlack  = 8 << 10
	// writeWindow is the time in which a reader has to take minWriteBytes, or what is left.
	writeWindow   = 5 * time.Second
	minWriteBytes = 16 << 10
)

// conn is a connection that applies the limits in force: it shortens the read deadlines that
// net/http sets, bounds the bytes of a header, and bounds the time of a write.
type conn struct {
	net.Conn
	limits      func() Limits
	connections *Connections

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

// SlowReaderError reports that the other side takes a response too slowly.
type SlowReaderError struct{}

// Error implements the error interface.
func (*SlowReaderError) Error() string {
	return fmt.Sprintf("the caller takes less than %d bytes in %s", minWriteBytes, writeWindow)
}

func (c *conn) setPhase(p phase, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.headerBytes = p, now, 0
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

// Write writes to the connection while the other side takes enough of it. Otherwise the error
// is a *SlowReaderError.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeWindow)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case err == nil:
			return written, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case n < minWriteBytes:
			return written, &SlowReaderError{}
		}
	}
}

// CloseWrite ends the connection in the direction of the caller, so that a caller that still
// sends can read its response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.connections.remove(c)
	return c.Conn.Close()
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
