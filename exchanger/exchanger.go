package exchanger

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
)

// Attempt is a request to send to one upstream, with the limits of this
// attempt.
type Attempt struct {
	Request descriptor.Request
	// Timeout is the time that the upstream has to process the request.
	Timeout time.Duration
	// Urgency is the priority that is sent with the request if the upstream is an
	// inference engine, that is, serves a model; 0 is the highest priority.
	Urgency int
	// Authenticated is true if the configuration has organisations: the caller's key is not
	// sent to the upstream. Organisation is the name of the one that sends the request, and
	// empty if there is none.
	Authenticated bool
	Organisation  string
	// LastEventID is the id of the last event that the caller has received, if this
	// request resumes an interrupted stream; empty otherwise.
	LastEventID string
	// HeaderTimeout is the longest wait for the header of the response; 0 means no limit.
	HeaderTimeout time.Duration
	// Withdrawn reports whether the request must not be sent any more. It is asked once the
	// connection is open, before the first byte is written. nil means that it may be sent.
	Withdrawn func(now time.Time) bool
}

// Codec encodes the platform's header fields of a request and decodes those of
// a response.
type Codec interface {
	// Header returns all header fields to send with a request to an upstream.
	Header(a Attempt, u descriptor.Upstream) http.Header
	// RequestID returns the request id that the upstream echoed in the header of its
	// response, or an empty string if the header has none.
	RequestID(h http.Header) string
	// NotRun reports whether the status and header of a response state that the
	// upstream did not run the request, so that a retry is safe.
	NotRun(status int, h http.Header) bool
	// Notice returns what an upstream says of itself in the header of a response.
	Notice(h http.Header) Notice
	// HasStamp reports whether the header of a response proves that an upstream
	// ran the request and produced the response.
	HasStamp(h http.Header) bool
}

// Notice is what an upstream says of itself in its responses.
type Notice struct {
	// Limit is the number of requests a second that the upstream takes from all hosts
	// together; 0 means that it names none.
	Limit float64
	// Leaving is true if the upstream takes no new requests soon.
	Leaving bool
}

// Stats holds the connection counters of an Exchanger. It is safe for
// concurrent use.
type Stats struct {
	// Opened counts new connections, and Reused counts uses of idle connections.
	Opened atomic.Int64
	Reused atomic.Int64
	// Stale counts idle connections that were closed instead of used again: idle
	// for too long, closed by the upstream, or with unexpected input.
	Stale atomic.Int64
	// Misdelivered counts skipped responses that belong to another request.
	Misdelivered atomic.Int64
	// IdleLost counts reused connections that failed at once because the upstream
	// had dropped them while they were idle.
	IdleLost atomic.Int64
}

// An Exchanger sends requests to upstreams over pooled connections. It is safe
// for concurrent use.
type Exchanger struct {
	codec Codec
	pool  pool
	// memory is what the headers of responses take their memory from; nil is no limit.
	memory *allocator.Pool
	// Stats may be read while requests are in flight.
	Stats Stats
}

// New returns an Exchanger that opens connections with dial. The number of
// connections is not limited until WithLimit is called.
func New(codec Codec, dial connector.Dial) *Exchanger {
	e := &Exchanger{codec: codec}
	e.pool.dial = dial
	e.pool.stats = &e.Stats
	return e
}

// WithLimit sets the maximum number of connections to each upstream, including idle
// connections; 0 means no limit. It changes e, returns e, and may be called at any
// time. Open connections above a lowered limit stay open.
func (e *Exchanger) WithLimit(connections int) *Exchanger {
	e.pool.setLimit(connections)
	return e
}

// WithMemory sets what the headers of responses take their memory from. It changes e, returns
// e, and must be called before the first request.
func (e *Exchanger) WithMemory(p *allocator.Pool) *Exchanger {
	e.memory = p
	return e
}

// Send sends a request and returns the response once its header has arrived. The
// caller must close the response. If ctx ends while the response is open, reads fail
// and the connection is closed. The error is a *connector.UnsentError if no byte
// of the request left the host, a *NotRunError, or an *IncompleteError.
func (e *Exchanger) Send(ctx context.Context, u descriptor.Upstream, a Attempt, now time.Time) (*Response, error) {
	c, err := e.pool.acquire(ctx, u, now)
	if err != nil {
		return nil, &connector.UnsentError{Upstream: u.ID, Cause: err}
	}
	if a.Withdrawn != nil && a.Withdrawn(time.Now()) {
		e.pool.keepUnused(c)
		return nil, &connector.UnsentError{Upstream: u.ID, Cause: &WithdrawnError{}}
	}
	stopInterrupt := context.AfterFunc(ctx, c.interrupt)
	response, err := e.exchangeWithDeadline(c, u, a)
	if elapsed := time.Since(now); err != nil && c.usedBefore && elapsed < idleLossWindow && isConnectionClosed(err) {
		e.pool.recordIdleLoss(c.idleFor, now)
	}
	if err == nil {
		response.stopInterrupt = stopInterrupt
		return response, nil
	}
	if interrupted := !stopInterrupt(); interrupted || c.notReusable {
		c.close()
	} else {
		e.pool.release(c, nil)
	}
	return nil, err
}

// exchangeWithDeadline sends a request and returns the response. If the header of the
// response does not arrive within a.HeaderTimeout, it aborts the exchange and returns
// an *IncompleteError that wraps a *HeaderTimeoutError. An error which reports that
// the request did not run is returned unchanged, because the request may then be
// retried.
func (e *Exchanger) exchangeWithDeadline(c *conn, u descriptor.Upstream, a Attempt) (*Response, error) {
	if a.HeaderTimeout <= 0 {
		return e.exchange(c, u, a)
	}
	timer := time.AfterFunc(a.HeaderTimeout, c.interrupt)
	response, err := e.exchange(c, u, a)
	if timer.Stop() {
		return response, err
	}
	c.notReusable = true
	var notRun *NotRunError
	var unsent *connector.UnsentError
	if errors.As(err, &notRun) || errors.As(err, &unsent) {
		return nil, err
	}
	return nil, &IncompleteError{Upstream: u.ID, Cause: &HeaderTimeoutError{After: a.HeaderTimeout}}
}

// exchange writes a request to c, reads the header of its response and classifies
// failures as Send documents. It leaves c.notReusable set unless c can carry
// another request.
func (e *Exchanger) exchange(c *conn, u descriptor.Upstream, a Attempt) (*Response, error) {
	c.notReusable = true
	writing := c.startWrite(a.Request, e.codec.Header(a, u))
	if len(a.Request.Body) <= maxSyncBody {
		if w := writing.wait(); w.unsent() {
			return nil, &connector.UnsentError{Upstream: u.ID, Cause: w.err}
		}
	}
	// An upstream may reject a long body before it has read all of it. The response
	// is therefore read even if the write failed halfway through.
	grant := e.memory.Grant()
	response, err := e.readResponse(c, a.Request, grant)
	if err != nil {
		grant.Release()
		c.interrupt()
		w := writing.wait()
		if w.unsent() {
			return nil, &connector.UnsentError{Upstream: u.ID, Cause: w.err}
		}
		return nil, &IncompleteError{Upstream: u.ID, Cause: errors.Join(w.err, err)}
	}
	requestWritten := writing.hasFinished() && writing.wait().err == nil
	if e.codec.NotRun(response.StatusCode, response.Header) {
		grant.Release()
		named := e.codec.RequestID(response.Header) != ""
		c.notReusable = c.misdeliveredSeen || !named || !requestWritten || response.Close || discardBody(response) != nil
		return nil, &NotRunError{Upstream: u.ID, Status: response.StatusCode, Notice: e.codec.Notice(response.Header)}
	}
	if response.StatusCode < http.StatusMultipleChoices && !e.codec.HasStamp(response.Header) {
		grant.Release()
		return nil, &IncompleteError{Upstream: u.ID, Cause: &NoStampError{Status: response.StatusCode}}
	}
	c.notReusable = c.misdeliveredSeen || !requestWritten || response.Close
	return &Response{
		Status:     response.StatusCode,
		Header:     response.Header,
		Length:     response.ContentLength,
		Unframed:   isUnframed(response),
		Notice:     e.codec.Notice(response.Header),
		body:       response.Body,
		writing:    writing,
		trailer:    &response.Trailer,
		conn:       c,
		pool:       &e.pool,
		grant:      grant,
		upstreamID: u.ID,
	}, nil
}

// maxSyncBody is the largest body, in bytes, that is written before the response
// is read. Such a body fits into the socket buffers of the operating system, so
// the write does not block. A larger body is written in a goroutine.
const maxSyncBody = 8 << 10

// readResponse reads the header of the response to r. An upstream may first send a
// duplicate response to an earlier request; such a response echoes another request
// id and is skipped. A response without an id is accepted on a new connection only: on
// another one it may be an earlier refusal once more, of a request that the upstream runs.
func (e *Exchanger) readResponse(c *conn, r descriptor.Request, grant *allocator.Grant) (*http.Response, error) {
	for misdelivered := 0; ; misdelivered++ {
		response, err := c.readHeader(r.Method, grant)
		if err != nil {
			return nil, err
		}
		echoedID := e.codec.RequestID(response.Header)
		acceptedWithoutID := echoedID == "" && !c.usedBefore
		if echoedID == r.ID || acceptedWithoutID {
			return response, nil
		}
		e.Stats.Misdelivered.Add(1)
		c.misdeliveredSeen = true
		if misdelivered >= maxMisdelivered {
			return nil, &MisdeliveredError{RequestID: echoedID}
		}
		if err := discardBody(response); err != nil {
			return nil, err
		}
	}
}

// maxMisdelivered is the maximum number of responses to other requests that are
// skipped while waiting for the response to one request.
const maxMisdelivered = 3
