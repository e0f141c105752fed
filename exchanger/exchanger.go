package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
)

// Dispatch is a request as it is sent to one upstream.
type Dispatch struct {
	Request descriptor.Request
	// Left is how long the upstream may work on the request.
	Left time.Duration
	// Urgency is passed on to engines; 0 is first.
	Urgency int
	// After is the last event that the caller has of a stream that goes on here.
	After string
	// Begin is how long the answer may take to begin; 0 is no limit.
	Begin time.Duration
}

// Codec spells the system's own fields of a request and reads those of an
// answer.
type Codec interface {
	// Header returns the header of a request to an upstream.
	Header(d Dispatch, u descriptor.Upstream) http.Header
	// Echo returns the id of the request that an answer belongs to; empty where
	// the answer names none.
	Echo(h http.Header) string
	// NotRun reports whether an answer says that the upstream did not run the
	// request.
	NotRun(status int, h http.Header) bool
	// Genuine reports whether an answer was made by an upstream that ran the
	// request.
	Genuine(h http.Header) bool
}

// NotRunError says that the upstream did not run the request.
type NotRunError struct {
	Upstream string
	Status   int
}

// Error describes the failure.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("%s did not run the request: status %d", e.Upstream, e.Status)
}

// BrokenError says that the request was sent and its answer is not known
// whole: it may have run.
type BrokenError struct {
	Upstream string
	Cause    error
}

// Error describes the failure.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer of %s broke off: %v", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// OverdueError says that an answer did not begin in its time.
type OverdueError struct{ After time.Duration }

// Error describes the failure.
func (e *OverdueError) Error() string { return fmt.Sprintf("no answer began within %s", e.After) }

// Stats counts what happened to connections. It is safe for concurrent use.
type Stats struct {
	Opened  atomic.Int64
	Reused  atomic.Int64
	Stale   atomic.Int64
	Surplus atomic.Int64
	// Dropped counts idle connections that failed as soon as they were used.
	Dropped atomic.Int64
}

// An Exchanger sends requests to upstreams. It is safe for concurrent use.
type Exchanger struct {
	codec Codec
	pool  pool
	// Stats may be read at any time.
	Stats Stats
}

// New returns an Exchanger.
func New(codec Codec, dial connector.Dial) *Exchanger {
	e := &Exchanger{codec: codec}
	e.pool.dial = dial
	e.pool.stats = &e.Stats
	return e
}

// WithLimit bounds the connections to one upstream from now on.
func (e *Exchanger) WithLimit(connections int) *Exchanger {
	e.pool.setLimit(connections)
	return e
}

// Send sends a request and returns the answer once its header has arrived.
// The answer has to be closed. Ending ctx drops the connection. A failure is a
// *connector.UnsentError where no byte left the host, a *NotRunError, or a
// *BrokenError.
func (e *Exchanger) Send(ctx context.Context, u descriptor.Upstream, d Dispatch, now time.Time) (*Answer, error) {
	c, err := e.pool.take(ctx, u, now)
	if err != nil {
		return nil, &connector.UnsentError{Upstream: u.ID, Cause: err}
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	answer, err := e.begin(c, u, d)
	if took := time.Since(now); err != nil && c.used && took < lostSoon && ended(err) {
		e.pool.lost(c.rested, now)
	}
	if err == nil {
		answer.stop = stop
		return answer, nil
	}
	if interrupted := !stop(); interrupted || c.unfinished {
		c.close()
	} else {
		e.pool.put(c, nil)
	}
	return nil, err
}

// ended reports whether a connection was closed or reset by the other end.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}

// begin sends a request and breaks it off when its answer is overdue.
func (e *Exchanger) begin(c *conn, u descriptor.Upstream, d Dispatch) (*Answer, error) {
	if d.Begin <= 0 {
		return e.exchange(c, u, d)
	}
	overdue := time.AfterFunc(d.Begin, c.interrupt)
	answer, err := e.exchange(c, u, d)
	if overdue.Stop() {
		return answer, err
	}
	c.unfinished = true
	var notRun *NotRunError
	var unsent *connector.UnsentError
	if errors.As(err, &notRun) || errors.As(err, &unsent) {
		return nil, err
	}
	return nil, &BrokenError{Upstream: u.ID, Cause: &OverdueError{After: d.Begin}}
}

func (e *Exchanger) exchange(c *conn, u descriptor.Upstream, d Dispatch) (*Answer, error) {
	c.unfinished = true
	writing := c.start(d.Request, e.codec.Header(d, u))
	if len(d.Request.Body) <= eagerBody {
		if w := writing.wait(); w.unsent() {
			return nil, &connector.UnsentError{Upstream: u.ID, Cause: w.err}
		}
	}
	// A write that failed half way may still be answered: upstreams refuse
	// long bodies early.
	response, err := e.await(c, d.Request)
	if err != nil {
		c.interrupt()
		w := writing.wait()
		if w.unsent() {
			return nil, &connector.UnsentError{Upstream: u.ID, Cause: w.err}
		}
		return nil, &BrokenError{Upstream: u.ID, Cause: errors.Join(w.err, err)}
	}
	whole := writing.done() && writing.wait().err == nil
	if e.codec.NotRun(response.StatusCode, response.Header) {
		c.unfinished = c.skipped || !whole || response.Close || discard(response) != nil
		return nil, &NotRunError{Upstream: u.ID, Status: response.StatusCode}
	}
	if response.StatusCode < http.StatusMultipleChoices && !e.codec.Genuine(response.Header) {
		return nil, &BrokenError{Upstream: u.ID, Cause: &UnprovedError{Status: response.StatusCode}}
	}
	c.unfinished = c.skipped || !whole || response.Close
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		body:   response.Body,
		conn:   c,
		pool:   &e.pool,
		name:   u.ID,
	}, nil
}

// eagerBody is the size in bytes up to which a body fits into the system's
// buffers, so that it is written before the answer is read.
const eagerBody = 8 << 10

// await reads answers until the one to the request. An upstream may send a
// surplus answer to an earlier request first; the echoed id tells them apart.
func (e *Exchanger) await(c *conn, r descriptor.Request) (*http.Response, error) {
	for surplus := 0; ; surplus++ {
		response, err := c.read(r.Method)
		if err != nil {
			return nil, err
		}
		echo := e.codec.Echo(response.Header)
		anonymous := echo == "" && (!c.used || e.codec.NotRun(response.StatusCode, response.Header))
		if echo == r.ID || anonymous {
			return response, nil
		}
		e.Stats.Surplus.Add(1)
		c.skipped = true
		if surplus >= maxSurplus {
			return nil, &ForeignError{Echo: echo}
		}
		if err := discard(response); err != nil {
			return nil, err
		}
	}
}

// maxSurplus is the most answers to other requests that are skipped.
const maxSurplus = 3

// UnprovedError says that a success bears no proof that an upstream made it.
type UnprovedError struct{ Status int }

// Error describes the failure.
func (e *UnprovedError) Error() string {
	return fmt.Sprintf("answer with status %d bears no proof that an upstream made it", e.Status)
}

// ForeignError says that an answer belongs to another request.
type ForeignError struct{ Echo string }

// Error describes the failure.
func (e *ForeignError) Error() string { return "answer belongs to request " + e.Echo }
