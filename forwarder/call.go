package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/refuser"
)

// maxBufferedResponse is the size in bytes below which a response is read completely
// before it is sent to the caller. The rest of a longer response is sent as it
// arrives.
const maxBufferedResponse = 256 << 10

// serveCall serves a request whose response is not a stream of events.
func (e *exchange) serveCall(ctx context.Context) Outcome {
	if _, once := e.route.Kind.(descriptor.Once); once {
		// A request that may run at most once is not cancelled when the caller
		// disconnects after it was sent; only its deadline ends it then.
		limited, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.deadline)
		defer cancel()
		ctx = limited
	}
	// errorResponse is the last response with an error status. The caller gets it if
	// the attempts at other upstreams fail.
	var errorResponse *bufferedResponse
	for {
		response, o := e.send(ctx, "")
		if o != nil {
			return e.deliverErrorResponseOr(errorResponse, o)
		}
		body, truncated, err := e.bufferResponse(ctx, response)
		if err == nil && !truncated && e.mayRetryStatus(response.Status) {
			errorResponse = &bufferedResponse{response: response, body: body}
			e.recordErrorStatus(response.Status)
			continue
		}
		if err == nil {
			return e.deliver(response, body, truncated)
		}
		if o := e.recordFailure(ctx, e.upstream, err); o != nil {
			return e.deliverErrorResponseOr(errorResponse, o)
		}
	}
}

// deliverErrorResponseOr sends errorResponse to the caller. If errorResponse is nil,
// it returns the outcome o instead.
func (e *exchange) deliverErrorResponseOr(errorResponse *bufferedResponse, o Outcome) Outcome {
	if errorResponse == nil {
		return o
	}
	return e.deliver(errorResponse.response, errorResponse.body, false)
}

// bufferedResponse is a response with its complete body.
type bufferedResponse struct {
	response *exchanger.Response
	body     []byte
}

// mayRetryStatus reports whether the request may be sent to another upstream after an
// upstream answered with the given status.
func (e *exchange) mayRetryStatus(status int) bool {
	return status == http.StatusInternalServerError && e.repeatable(e.runs+1)
}

// recordErrorStatus logs and counts that the last upstream ran the request and
// answered with an error status, and that another upstream is tried.
func (e *exchange) recordErrorStatus(status int) {
	e.mayHaveRun = true
	e.runs++
	e.tried = withTried(e.tried, e.upstream.ID)
	e.config.Logger.Info().Str("id", e.request.ID).Str("upstream", e.upstream.ID).Int64("listed", e.upstream.HeartbeatSequence).
		Int("status", status).Msg("upstream answered with an error status, trying another")
	e.config.Counters.Retried(counter.RetryFailed)
}

// bufferResponse reads the body of a response up to maxBufferedResponse bytes. If it
// stops at this limit, truncated is true and the response stays open so that the rest
// can be read; otherwise it closes the response.
func (e *exchange) bufferResponse(ctx context.Context, response *exchanger.Response) (body []byte, truncated bool, err error) {
	body, err = e.readBody(response)
	if err == nil && len(body) == maxBufferedResponse {
		return body, true, nil
	}
	e.closeResponse(ctx, response, err)
	return body, false, err
}

// minBodyBuffer is the first size of the buffer of a body, in bytes.
const minBodyBuffer = 4 << 10

// readBody reads up to maxBufferedResponse bytes of the body of a response. Too much beside
// other responses is an *exchanger.IncompleteError.
func (e *exchange) readBody(response *exchanger.Response) ([]byte, error) {
	body := make([]byte, 0, minBodyBuffer)
	for len(body) < maxBufferedResponse {
		if len(body) == cap(body) {
			if err := e.reserveMemory(2 * cap(body)); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// reserveMemory takes the memory for what the request keeps of a response, in bytes. The error
// is an *exchanger.IncompleteError: the rest of the response is not read.
func (e *exchange) reserveMemory(bytes int) error {
	if err := e.memory.Resize(int64(bytes)); err != nil {
		return &exchanger.IncompleteError{Upstream: e.upstream.ID, Cause: err}
	}
	return nil
}

// resultOfServerError returns how a response with a status of 500 or above counts in
// the health of the upstream. For a stream it counts as a complete failure, because
// the turn has to be run again. For a call it counts less, because the caller gets
// the response.
func (e *exchange) resultOfServerError() result {
	if _, stream := e.route.Kind.(descriptor.Stream); stream {
		return resultFailed
	}
	return resultErrorStatus
}

// closeResponse closes a response and records how the request ended at the upstream.
// err is the error that stopped the reading, or nil if the response is complete.
func (e *exchange) closeResponse(ctx context.Context, response *exchanger.Response, err error) {
	response.Close()
	now := time.Now()
	e.countDefect(err)
	e.examineLoss(ctx, e.upstream, err, now)
	r := resultOK
	var sinkFailure *sinkError
	switch {
	case errors.As(err, &sinkFailure) || (err != nil && ctx.Err() != nil):
		r = resultUnknown
	case err != nil:
		r = resultFailed
	case response.Status == http.StatusGatewayTimeout:
		// The upstream reports that the caller's deadline passed, which says nothing
		// about the health of the upstream.
		r = resultUnknown
	case response.Status >= http.StatusInternalServerError:
		r = e.resultOfServerError()
	}
	e.config.Tracker.end(e.inFlight, r, now)
}

// deliver sends a response to the caller: first body, which was read already, and
// then, if truncated is true, the rest as it arrives.
func (e *exchange) deliver(response *exchanger.Response, body []byte, truncated bool) Outcome {
	length := int64(len(body))
	if truncated {
		length = response.Length
	}
	e.firstByte = time.Now()
	e.sink.Head(response.Status, response.Header, length)
	var err error
	if sinkErr := e.sink.Body(body); sinkErr != nil {
		err = &sinkError{cause: sinkErr}
	}
	if truncated {
		if err == nil {
			err = e.copyRest(response)
		}
		e.closeResponse(e.caller, response, err)
	}
	if err != nil {
		return Cut{Refusal: refuser.New(refuser.Cut, "the answer could not be passed on: %w", err).WithRun(descriptor.RunYes)}
	}
	return Answered{Status: response.Status}
}

// copyRest sends the unread rest of a response to the caller as it arrives.
func (e *exchange) copyRest(response *exchanger.Response) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			if err := e.sink.Body(buffer[:n]); err != nil {
				return &sinkError{cause: err}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
