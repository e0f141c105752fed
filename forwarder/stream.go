package forwarder

import (
	"bytes"
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

// streamBuffer is the size in bytes of the buffer into which a stream is read.
const streamBuffer = 4 << 10

// serveStream serves a request whose response is a stream of server-sent events.
func (e *exchange) serveStream(ctx context.Context, kind descriptor.Stream) Outcome {
	t := &turn{kind: kind, input: e.request.Body}
	e.turn = t
	defer t.release()
	if o := e.beginTurn(ctx, t); o != nil {
		return o
	}
	if o := e.letIn(ctx); o != nil {
		e.settleInBackground(t)
		return o
	}
	response, o := e.send(ctx, e.request.LastEvent)
	if o != nil {
		e.settleInBackground(t)
		return o
	}
	if response.Status != http.StatusOK {
		defer e.settleInBackground(t)
		return e.serveNonStream(ctx, response)
	}
	return e.relayStream(ctx, t, response)
}

// letIn takes a credit of the organisation for a turn and asks for the admission of its program.
// It returns the outcome of a turn that must not run, and nil otherwise. Both depend on whether
// the program has begun, which the program's home has told by then.
func (e *exchange) letIn(ctx context.Context) Outcome {
	if o := e.takeAllowance(ctx, time.Now()); o != nil {
		return o
	}
	return e.admit(time.Now())
}

// serveNonStream sends the caller a response to a stream request whose status is not
// 200: its body is not a stream of events.
func (e *exchange) serveNonStream(ctx context.Context, response *exchanger.Response) Outcome {
	e.mayHaveRun = true
	body, truncated, err := e.bufferResponse(ctx, response)
	if err == nil {
		return e.deliver(response, body, truncated)
	}
	if o := e.contextOutcome(ctx); o != nil {
		return o
	}
	return refused(refuser.New(refuser.Lost, "the answer was lost: %w", err).WithRun(descriptor.RunUnknown))
}

// relayStream sends a stream of events to the caller and resumes the stream if it is
// interrupted. The stream of a turn that is to be recorded does not end for the
// caller before the record is in the store.
func (e *exchange) relayStream(ctx context.Context, t *turn, response *exchanger.Response) Outcome {
	e.mayHaveRun = true
	e.firstByte = time.Now()
	e.bindStream(t.kind)
	e.sink.Head(response.Status, response.Header, -1)
	e.mediaType = mediaType(response.Header)
	ids := sequence{last: e.request.LastEvent}
	for {
		before := ids.last
		err := e.relayEvents(t, response, &ids)
		e.closeResponse(ctx, response, err)
		if err == nil {
			e.observeEnd(time.Now())
			return e.finishStream(ctx, t)
		}
		if ids.last != before {
			e.resumeRetries = 0
		}
		response = e.resumeInterrupted(ctx, t, ids.last, err)
		if response == nil {
			e.settleInBackground(t)
			return e.cutOutcome(ctx, err)
		}
	}
}

// finishStream ends a stream whose events were all sent to the caller. It records the
// turn if the route retains turns, and otherwise only settles the budget. If the turn
// can't be recorded, the outcome is Cut.
func (e *exchange) finishStream(ctx context.Context, t *turn) Outcome {
	if !t.kind.Retain || !t.reserved {
		e.settleInBackground(t)
		return Answered{Status: http.StatusOK}
	}
	recordStart := time.Now()
	err := e.recordTurn(ctx, t)
	e.noteRecording(ctx, t, err, time.Now())
	if err != nil {
		e.settleInBackground(t)
		return e.cutOutcome(ctx, err)
	}
	e.config.Counters.Measured(counter.MeasureRecord, time.Since(recordStart))
	return Answered{Status: http.StatusOK}
}

// cutOutcome returns the outcome of a stream that had begun and can't be finished.
func (e *exchange) cutOutcome(ctx context.Context, cause error) Outcome {
	reason := refuser.Cut
	if ctx.Err() != nil {
		reason = refuser.Gone
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = refuser.Timeout
		}
	}
	return Cut{Refusal: refuser.New(reason, "the stream was cut: %w", cause).WithRun(descriptor.RunUnknown)}
}

// sinkError is a failure to write to the caller.
type sinkError struct{ cause error }

// Error implements the error interface.
func (e *sinkError) Error() string { return "write to the caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.cause }

// relayEvents sends complete events to the caller until the stream ends. It follows their
// ids, so that an interrupted stream can be resumed.
func (e *exchange) relayEvents(t *turn, response *exchanger.Response, ids *sequence) error {
	var s splitter
	ids.begin()
	buffer := make([]byte, streamBuffer)
	previous := time.Now()
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			events, tooLong := s.push(buffer[:n])
			if now := time.Now(); len(events) > 0 {
				e.config.Tracker.recordEventInterval(e.inFlight, now.Sub(previous)/time.Duration(len(events)), now)
				e.observeEvents(len(events), now)
				previous = now
			}
			if err := e.writeEvents(t, events, ids); err != nil {
				return err
			}
			if tooLong != nil {
				return tooLong
			}
			if err := e.reserveMemory(s.size() + cap(t.output)); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return e.endEvents(s.rest(), response, ids)
		default:
			return err
		}
	}
}

// writeEvents sends complete events to the caller in one write. It counts their
// tokens, and keeps their data if the turn is to be recorded. Too much data is an
// *OutputTooLongError. What is no event, or not the next one, is an
// *exchanger.IncompleteError; the events before it are sent.
func (e *exchange) writeEvents(t *turn, events [][]byte, ids *sequence) error {
	var joined []byte
	var wrong error
	for _, raw := range events {
		if wrong = e.acceptEvent(t, raw, ids); wrong != nil {
			break
		}
		joined = append(joined, raw...)
	}
	if len(t.output) > maxOutputBytes {
		return &OutputTooLongError{}
	}
	if len(joined) == 0 {
		return wrong
	}
	if err := e.sink.Body(joined); err != nil {
		return &sinkError{cause: err}
	}
	return wrong
}

// acceptEvent counts the tokens of an event, and keeps its data if the turn is to be recorded.
// The error is an *exchanger.IncompleteError.
func (e *exchange) acceptEvent(t *turn, raw []byte, ids *sequence) error {
	parsed, err := parseEvent(raw)
	if err == nil && (parsed.hasData || parsed.id != "") {
		err = ids.accept(parsed.id)
	}
	if err != nil {
		return &exchanger.IncompleteError{Upstream: e.upstream.ID, Cause: err}
	}
	if !parsed.hasData {
		return nil
	}
	e.unnumbered = parsed.id == ""
	e.generated += e.service.TokensPerEvent
	if t.kind.Retain {
		t.output = append(append(t.output, parsed.data...), '\n')
	}
	return nil
}

// PartialEventError reports a stream that ended inside an event.
type PartialEventError struct{}

// Error implements the error interface.
func (*PartialEventError) Error() string { return "stream ended inside an event" }

// Unwrap returns io.ErrUnexpectedEOF: the upstream may have ended.
func (*PartialEventError) Unwrap() error { return io.ErrUnexpectedEOF }

// EmptyRestError reports that the rest of a stream has no event and ends with its connection:
// nothing tells it from a response that was broken off.
type EmptyRestError struct{}

// Error implements the error interface.
func (*EmptyRestError) Error() string {
	return "rest of the stream ended with its connection, without an event"
}

// Unwrap returns io.ErrUnexpectedEOF: the upstream may have ended.
func (*EmptyRestError) Unwrap() error { return io.ErrUnexpectedEOF }

// endEvents ends a stream with the bytes that follow its last complete event. Line ends are
// sent to the caller. Anything else is a part of an event: the upstream has broken the stream
// off, even if the connection ended properly.
func (e *exchange) endEvents(rest []byte, response *exchanger.Response, ids *sequence) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return &exchanger.IncompleteError{Upstream: e.upstream.ID, Cause: &PartialEventError{}}
	}
	if ids.joining && response.Unframed {
		return &exchanger.IncompleteError{Upstream: e.upstream.ID, Cause: &EmptyRestError{}}
	}
	if len(rest) == 0 {
		return nil
	}
	if err := e.sink.Body(rest); err != nil {
		return &sinkError{cause: err}
	}
	return nil
}
