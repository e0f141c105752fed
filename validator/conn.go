package validator

import (
	"bytes"
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

// conn is a connection of a Transport. It checks the heads of responses before http.Transport
// reads them, and a reset is not read as an ordinary end: the operating system reports a reset
// once, to the read or to the write that meets it first, and after a failed write http.Transport
// would take a body that ends with its connection as complete.
type conn struct {
	net.Conn
	heads headStream
	// writing is held during a write. failure is the first error of a write.
	writing sync.Mutex
	failure error
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read implements io.Reader. The error of a broken head is a *StatusError or a *HeadError. At the
// end of the connection Read waits for the write in progress, and returns an *EndError if a
// write has failed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.heads.push(p[:n]); headErr != nil {
		return 0, headErr
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, &EndError{Cause: c.failure}
	}
	return n, err
}

// headStream checks the heads of the responses to one request, the interim ones and the last, in
// what is read from a connection. The zero value expects no head. It is safe for concurrent use.
type headStream struct {
	mu       sync.Mutex
	expected bool
	head     Head
	// line is the beginning of a line whose end was not read yet.
	line []byte
}

// begin expects the response to a new request.
func (s *headStream) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected, s.head, s.line = true, Head{}, nil
}

// push checks the next bytes. The error is that of Head.Line.
func (s *headStream) push(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.expected && len(p) > 0 {
		end := bytes.IndexByte(p, '\n') + 1
		if end == 0 {
			s.line = append(s.line, p...)
			return nil
		}
		last, err := s.head.Line(append(s.line, p[:end]...))
		if err != nil {
			return err
		}
		if last {
			s.expected, s.head = s.head.Interim(), Head{}
		}
		s.line, p = s.line[:0], p[end:]
	}
	return nil
}
