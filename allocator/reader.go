package allocator

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// minRetry and maxRetry bound the random delay after which a caller should retry a body that
	// gave way.
	minRetry = 500 * time.Millisecond
	maxRetry = time.Second
	// bodyGrowth is the factor by which the buffer of a body grows.
	bodyGrowth = 2
)

// RetryShed returns a random delay after which a caller should retry a body that gave way.
func RetryShed() time.Duration { return minRetry + rand.N(maxRetry-minRetry) }

// OversizeError reports a body that is larger than the limit.
type OversizeError struct {
	// Limit is the limit in bytes.
	Limit int64
}

// Error implements the error interface.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("the body is larger than %d bytes", e.Limit)
}

// bodyReader reads the body of a request.
type bodyReader struct {
	source io.Reader
	memory *Body
}

// Read reads the body of a request that a caller sends within a timeout. The returned Body is to be
// released when the request has ended; it is nil if there is no body. The error is an
// *OversizeError, before a byte is read if the length is declared, a *ShedError, or the error
// of the connection.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, now time.Time) ([]byte, *Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil, nil
	}
	if r.ContentLength > limit {
		return nil, nil, &OversizeError{Limit: limit}
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(now.Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, nil, err
	}
	memory := b.Open(callerAddress(r), declaredLength(r), limit, func() { interrupt(controller) }, now)
	body, err := (&bodyReader{source: r.Body, memory: memory}).read()
	if completeErr := memory.Complete(); completeErr != nil {
		err = completeErr
	}
	if err != nil {
		memory.Release()
		return nil, nil, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, memory, nil
}

// Refuse prepares the response to a request whose body may not have been read. An error of Read
// closes the connection; otherwise the rest is read for a timeout at most.
func Refuse(w http.ResponseWriter, err error, timeout time.Duration, now time.Time) {
	controller := http.NewResponseController(w)
	if err == nil {
		_ = controller.SetReadDeadline(now.Add(timeout))
		return
	}
	w.Header().Set("Connection", "close")
	interrupt(controller)
}

// interrupt makes reads of a request fail.
func interrupt(c *http.ResponseController) { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// declaredLength returns the length of a body in bytes, or -1 if it is not declared.
func declaredLength(r *http.Request) int64 {
	if r.ContentLength > 0 {
		return r.ContentLength
	}
	return -1
}

// callerAddress returns the address of a caller without its port.
func callerAddress(r *http.Request) string {
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return ip
	}
	return r.RemoteAddr
}

// read reads the body to its end.
func (b *bodyReader) read() ([]byte, error) {
	body, err := b.grow(nil)
	for err == nil {
		if len(body) == cap(body) && int64(len(body)) == b.memory.declared {
			return body, nil
		}
		if len(body) == cap(body) {
			if body, err = b.grow(body); err != nil {
				break
			}
		}
		var n int
		n, err = b.source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		b.memory.Received(n, time.Now())
	}
	if errors.Is(err, io.EOF) {
		return body, nil
	}
	return nil, err
}

// grow returns the body in a larger buffer. The error is io.EOF if the body has ended at the
// limit.
func (b *bodyReader) grow(body []byte) ([]byte, error) {
	if int64(cap(body)) == b.memory.limit {
		return body, b.end()
	}
	size := min(b.memory.limit, max(FreeBodyBytes, bodyGrowth*int64(cap(body))))
	if b.memory.declared >= 0 {
		size = min(size, b.memory.declared)
	}
	if err := b.memory.Grow(size, time.Now()); err != nil {
		return nil, err
	}
	larger := append(outgrown.take(size), body...)
	outgrown.put(body)
	return larger, nil
}

// end returns io.EOF if the body has ended, and otherwise an error.
func (b *bodyReader) end() error {
	var next [1]byte
	if _, err := io.ReadFull(b.source, next[:]); err != nil {
		return err
	}
	return &OversizeError{Limit: b.memory.limit}
}
