package validator

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// dialFunc opens a connection, as the type of connector.Dial does. Package connector imports
// this one.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// EndError reports that a connection ended on which a write has failed: it was reset, as far as
// is known. What was read before may be a part of a response.
type EndError struct {
	// Cause is the error of the write.
	Cause error
}

// Error implements the error interface.
func (e *EndError) Error() string { return "connection ended after a failed write: " + e.Cause.Error() }

// Unwrap returns the error of the write.
func (e *EndError) Unwrap() error { return e.Cause }

// Dial returns a function that opens connections with dial, on which a reset is not read as an
// ordinary end. The operating system reports a reset once, to the read or to the write that meets
// it first; after a failed write, http.Transport would take a body that ends with its connection
// as complete.
func Dial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection that Dial opens.
type conn struct {
	net.Conn
	// mu is held during a write. failure is the first error of a write.
	mu      sync.Mutex
	failure error
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read implements io.Reader. At the end of the connection it waits for the write in progress, and
// returns an *EndError if a write has failed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return n, &EndError{Cause: c.failure}
	}
	return n, err
}
