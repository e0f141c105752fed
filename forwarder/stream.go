package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/refuser"
)

// streamBuffer is the size of one read of a stream in bytes.
const streamBuffer = 4 << 10

// stream serves a request that is answered by events.
func (e *exchange) stream(ctx context.Context, kind descriptor.Stream) Outcome {
	t := &turn{kind: kind, input: e.request.Body}
	if o := e.begin(ctx, t); o != nil {
		return o
	}
	answer, o := e.send(ctx, e.request.LastEvent)
	if o != nil {
		e.settle(t)
		return o
	}
	if answer.Status != http.StatusOK {
		defer e.settle(t)
		return e.plain(ctx, answer)
	}
	return e.events(ctx, t, answer)
}

// plain passes on an answer that is not a stream.
func (e *exchange) plain(ctx context.Context, answer *exchanger.Answer) Outcome {
	e.sent = true
	whole, more, err := e.readWhole(ctx, answer)
	if err == nil {
		return e.deliver(answer, whole, more)
	}
	if o := e.ended(ctx); o != nil {
		return o
	}
	return refuse(refuser.New(refuser.Lost, "the answer was lost: %w", err).WithRun(descriptor.RunUnknown))
}

// events passes on a stream event by event. The end of a retained turn is held
// until the turn is recorded.
func (e *exchange) events(ctx context.Context, t *turn, answer *exchanger.Answer) Outcome {
	e.sent = true
	e.firstByte = time.Now()
	e.sink.Head(answer.Status, answer.Header, -1)
	last := e.request.LastEvent
	for {
		err := e.copyEvents(t, answer, &last)
		e.close(ctx, answer, err)
		if err == nil {
			return e.whole(ctx, t)
		}
		answer = e.resume(ctx, t, last, err)
		if answer == nil {
			e.settle(t)
			return e.cut(ctx, err)
		}
	}
}

// whole ends a stream that was passed on to its end.
func (e *exchange) whole(ctx context.Context, t *turn) Outcome {
	if !t.kind.Retain || !t.held {
		e.settle(t)
		return Answered{Status: http.StatusOK}
	}
	held := time.Now()
	if err := e.record(ctx, t); err != nil {
		e.settle(t)
		return e.cut(ctx, err)
	}
	e.config.Counters.Measured(counter.MeasureHeld, time.Since(held))
	return Answered{Status: http.StatusOK}
}

// cut returns the outcome of a stream that can't be finished.
func (e *exchange) cut(ctx context.Context, cause error) Outcome {
	reason := refuser.Cut
	if ctx.Err() != nil {
		reason = refuser.Gone
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = refuser.Timeout
		}
	}
	return Cut{Refusal: refuser.New(reason, "the stream was cut: %w", cause).WithRun(descriptor.RunUnknown)}
}

// sinkError says that the caller's connection failed.
type sinkError struct{ cause error }

// Error describes the failure.
func (e *sinkError) Error() string { return "caller's connection: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.cause }

// copyEvents passes on whole events until the stream's end.
func (e *exchange) copyEvents(t *turn, answer *exchanger.Answer, last *string) error {
	var s splitter
	buffer := make([]byte, streamBuffer)
	before := time.Now()
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			events := s.push(buffer[:n])
			if now := time.Now(); len(events) > 0 {
				e.config.Board.passed(e.visit, now.Sub(before)/time.Duration(len(events)), now)
				before = now
			}
			if err := e.passEvents(t, events, last); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return e.passRest(s.rest())
		default:
			return err
		}
	}
}

func (e *exchange) passEvents(t *turn, events [][]byte, last *string) error {
	var joined []byte
	for _, raw := range events {
		parsed := parseEvent(raw)
		if parsed.id != "" {
			*last = parsed.id
		}
		if parsed.counted {
			e.generated += e.service.TokensPerEvent
			if t.kind.Retain {
				t.output = append(append(t.output, parsed.data...), '\n')
			}
		}
		joined = append(joined, raw...)
	}
	if len(joined) == 0 {
		return nil
	}
	if err := e.sink.Body(joined); err != nil {
		return &sinkError{cause: err}
	}
	return nil
}

func (e *exchange) passRest(rest []byte) error {
	if len(rest) == 0 {
		return nil
	}
	if err := e.sink.Body(rest); err != nil {
		return &sinkError{cause: err}
	}
	return nil
}

// resume has a broken stream go on after its last event, at the upstream that
// broke it off while that one is reached, else at another. It returns nil where
// the stream can't go on.
func (e *exchange) resume(ctx context.Context, t *turn, last string, cause error) *exchanger.Answer {
	var broken *exchanger.BrokenError
	if !t.kind.Resumable || ctx.Err() != nil || !errors.As(cause, &broken) {
		return nil
	}
	e.config.Logger.Info().Err(cause).Str("id", e.request.ID).Str("upstream", e.upstream.ID).
		Str("after", last).Msg("stream broke off, resuming")
	e.config.Counters.Retried(counter.RetryResume)
	answer, err := e.sendTo(ctx, e.upstream, last, time.Now())
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		e.tried = withTried(e.tried, e.upstream.ID)
		answer, _ = e.send(ctx, last)
		err = nil
	}
	if err != nil || answer == nil {
		return nil
	}
	if answer.Status != http.StatusOK {
		e.close(ctx, answer, nil)
		return nil
	}
	return answer
}
