package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// wholeAnswer bounds an answer that is read whole before it is passed on,
	// in bytes. Longer ones are passed on as they come.
	wholeAnswer = 256 << 10
	// retryFull is when to ask again after every upstream was full.
	retryFull = 100 * time.Millisecond
	// retryNone is when to ask again while no upstream is listed.
	retryNone = 500 * time.Millisecond
)

// exchange is one request on its way.
type exchange struct {
	*Forwarder
	request  descriptor.Request
	sink     Sink
	route    descriptor.Route
	service  descriptor.Service
	version  int64
	began    time.Time
	deadline time.Time

	// caller ends when the caller leaves.
	caller context.Context
	// upstream is the one that was sent the request last, and visit its stay there.
	upstream descriptor.Upstream
	visit    *visit
	// sent says that the request may have run.
	sent bool
	// runs counts the upstreams that may have run the request.
	runs int
	// sends counts the times that the request was written.
	sends int
	tried map[string]bool
	// held is the upstream that served the session's last turn.
	held string
	// generated counts the tokens that were passed on to the caller.
	generated int64
	// firstByte is when the answer began.
	firstByte time.Time
}

func (e *exchange) log(event *zerolog.Event, now time.Time) *zerolog.Event {
	event = event.Str("id", e.request.ID).Str("route", e.route.Name).Int64("config", e.version).
		Dur("took_ms", now.Sub(e.began)).Int("sends", e.sends)
	if e.request.Program != "" {
		event = event.Str("program", e.request.Program).Str("session", e.request.Session)
	}
	if e.request.Budget > 0 {
		event = event.Int64("budget", e.request.Budget).Int64("most", e.request.Most).Int64("generated", e.generated)
	}
	if e.upstream.ID != "" {
		event = event.Str("upstream", e.upstream.ID).Int64("listed", e.upstream.Beat)
	}
	if !e.firstByte.IsZero() {
		event = event.Dur("first_ms", e.firstByte.Sub(e.began))
	}
	return event
}

// run says what is known of whether the request ran.
func (e *exchange) run() descriptor.Run {
	if e.sent {
		return descriptor.RunUnknown
	}
	return descriptor.RunNo
}

// pick chooses an upstream that was not tried yet.
func (e *exchange) pick(now time.Time) (descriptor.Upstream, bool) {
	list, ok := e.config.Upstreams()
	if !ok {
		return descriptor.Upstream{}, false
	}
	return e.config.Board.choose(list.Usable(e.service.Name, now), choice{
		request:    e.request,
		dataCentre: e.config.DataCentre,
		held:       e.held,
		tried:      e.tried,
		others:     e.config.Others(now),
	}, now)
}

// send writes the request to an upstream, and to others while none has run it.
// It returns the answer's header, or the outcome where there is none.
func (e *exchange) send(ctx context.Context, after string) (*exchanger.Answer, Outcome) {
	for {
		if o := e.ended(ctx); o != nil {
			return nil, o
		}
		if o := e.ended(e.caller); o != nil {
			return nil, o
		}
		now := time.Now()
		u, ok := e.pick(now)
		if !ok {
			return nil, e.exhausted()
		}
		answer, err := e.sendTo(ctx, u, after, now)
		if err == nil {
			return answer, nil
		}
		if o := e.failed(ctx, u, err); o != nil {
			return nil, o
		}
	}
}

// sendTo writes the request to one upstream.
func (e *exchange) sendTo(ctx context.Context, u descriptor.Upstream, after string, now time.Time) (*exchanger.Answer, error) {
	e.upstream = u
	e.sends++
	e.config.Counters.Reached(counter.StageDispatched)
	e.visit = e.config.Board.begin(u, e.request.Prefix, now)
	answer, err := e.config.Exchanger.Send(ctx, u, exchanger.Dispatch{
		Request: e.request,
		Left:    e.left(now),
		Urgency: e.route.Rank,
		After:   after,
		Begin:   e.beginIn(now),
	}, now)
	if err != nil {
		e.config.Board.end(e.visit, e.sendResult(ctx, err), time.Now())
		return nil, err
	}
	e.config.Board.answered(e.visit, time.Now())
	return answer, nil
}

// beginIn returns how long an answer may take to begin before the request goes
// on at another upstream; 0 is no limit.
func (e *exchange) beginIn(now time.Time) time.Duration {
	if !e.repeatable(e.runs + 1) {
		return 0
	}
	// Half of the time is left for the other upstream.
	return min(e.config.Board.OverdueAfter(e.service.Name), e.left(now)/2)
}

// sendResult says what a failed send tells of its upstream.
func (e *exchange) sendResult(ctx context.Context, err error) result {
	var notRun *exchanger.NotRunError
	if ctx.Err() != nil || errors.As(err, &notRun) {
		return unknown
	}
	return failed
}

// failed notes a failed send. It returns the outcome where the request must
// not be sent again.
func (e *exchange) failed(ctx context.Context, u descriptor.Upstream, err error) Outcome {
	e.tried = withTried(e.tried, u.ID)
	var unsent *connector.UnsentError
	var notRun *exchanger.NotRunError
	event := e.config.Logger.Info().Err(err).Str("id", e.request.ID).Str("upstream", u.ID).Int64("listed", u.Beat)
	switch {
	case errors.As(err, &notRun):
		event.Msg("upstream refused the request")
		e.config.Counters.Retried(counter.RetryRefused)
		return nil
	case errors.As(err, &unsent):
		event.Msg("upstream was not reached")
		e.config.Counters.Retried(counter.RetryUnsent)
		return nil
	}
	e.sent = true
	e.runs++
	if o := e.ended(ctx); o != nil {
		return o
	}
	event.Msg("upstream broke off")
	if e.repeatable(e.runs) {
		e.config.Counters.Retried(retryReason(err))
		return nil
	}
	return refuse(refuser.New(refuser.Lost, "the answer was lost: %w", err).WithRun(descriptor.RunUnknown))
}

// retryReason says why a request that may have run is sent again.
func retryReason(err error) counter.Retry {
	var overdue *exchanger.OverdueError
	if errors.As(err, &overdue) {
		return counter.RetryOverdue
	}
	return counter.RetryUpstream
}

// repeatable reports whether the request may run on one more upstream after a
// number of runs.
func (e *exchange) repeatable(runs int) bool {
	_, idempotent := e.route.Kind.(descriptor.Idempotent)
	return idempotent && runs < e.route.Attempts
}

// exhausted returns the outcome of a request that no upstream took.
func (e *exchange) exhausted() Outcome {
	if e.sent {
		return refuse(refuser.New(refuser.Lost, "the answer was lost and no upstream is left").WithRun(descriptor.RunUnknown))
	}
	if len(e.tried) == 0 {
		return refuse(refuser.New(refuser.Capacity, "no upstream of service %s is listed", e.service.Name).WithRetry(retryNone))
	}
	return refuse(refuser.New(refuser.Capacity, "%d upstreams of service %s did not take the request",
		len(e.tried), e.service.Name).WithRetry(retryFull))
}

func withTried(tried map[string]bool, id string) map[string]bool {
	if tried == nil {
		tried = make(map[string]bool)
	}
	tried[id] = true
	return tried
}

// call serves a request that is answered as a whole.
func (e *exchange) call(ctx context.Context) Outcome {
	if _, once := e.route.Kind.(descriptor.Once); once {
		// A request that may run once is not broken off when its caller leaves.
		limited, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.deadline)
		defer cancel()
		ctx = limited
	}
	// own has an upstream's own failure, which is passed on if no other upstream
	// does better.
	var own *plainAnswer
	for {
		answer, o := e.send(ctx, "")
		if o != nil {
			return e.orOwn(own, o)
		}
		whole, more, err := e.readWhole(ctx, answer)
		if err == nil && !more && e.mayDoBetter(answer.Status) {
			own = &plainAnswer{answer: answer, whole: whole}
			e.passOver(answer.Status)
			continue
		}
		if err == nil {
			return e.deliver(answer, whole, more)
		}
		if o := e.failed(ctx, e.upstream, err); o != nil {
			return e.orOwn(own, o)
		}
	}
}

// orOwn passes on an upstream's own failure where there is one, and returns an
// outcome otherwise.
func (e *exchange) orOwn(own *plainAnswer, o Outcome) Outcome {
	if own == nil {
		return o
	}
	return e.deliver(own.answer, own.whole, false)
}

// plainAnswer is an answer that was read whole.
type plainAnswer struct {
	answer *exchanger.Answer
	whole  []byte
}

// mayDoBetter reports whether another upstream may run a request that was answered
// with a status.
func (e *exchange) mayDoBetter(status int) bool {
	return status == http.StatusInternalServerError && e.repeatable(e.runs+1)
}

// passOver notes that the last upstream ran the request and failed it.
func (e *exchange) passOver(status int) {
	e.sent = true
	e.runs++
	e.tried = withTried(e.tried, e.upstream.ID)
	e.config.Logger.Info().Str("id", e.request.ID).Str("upstream", e.upstream.ID).Int64("listed", e.upstream.Beat).
		Int("status", status).Msg("upstream failed the request, asking another")
	e.config.Counters.Retried(counter.RetryFailed)
}

// readWhole reads an answer up to a limit. It closes the answer unless there
// is more.
func (e *exchange) readWhole(ctx context.Context, answer *exchanger.Answer) (whole []byte, more bool, err error) {
	whole, err = io.ReadAll(io.LimitReader(answer, wholeAnswer))
	if err == nil && len(whole) == wholeAnswer {
		return whole, true, nil
	}
	e.close(ctx, answer, err)
	return whole, false, err
}

// failure says what an upstream's own failure tells of it: a turn has to be run
// again, a call has its answer.
func (e *exchange) failure() result {
	if _, stream := e.route.Kind.(descriptor.Stream); stream {
		return failed
	}
	return erred
}

// close ends an answer that was read to its end or up to a failure, and counts
// the request as ended.
func (e *exchange) close(ctx context.Context, answer *exchanger.Answer, err error) {
	answer.Close()
	r := served
	var callers *sinkError
	switch {
	case errors.As(err, &callers) || (err != nil && ctx.Err() != nil):
		r = unknown
	case err != nil:
		r = failed
	case answer.Status == http.StatusGatewayTimeout:
		// The caller's time was over.
		r = unknown
	case answer.Status >= http.StatusInternalServerError:
		r = e.failure()
	}
	e.config.Board.end(e.visit, r, time.Now())
}

// deliver passes on an answer that was read, and the rest where there is more.
func (e *exchange) deliver(answer *exchanger.Answer, whole []byte, more bool) Outcome {
	length := int64(len(whole))
	if more {
		length = answer.Length
	}
	e.firstByte = time.Now()
	e.sink.Head(answer.Status, answer.Header, length)
	var err error
	if sinkErr := e.sink.Body(whole); sinkErr != nil {
		err = &sinkError{cause: sinkErr}
	}
	if more {
		if err == nil {
			err = e.pass(answer)
		}
		e.close(e.caller, answer, err)
	}
	if err != nil {
		return Cut{Refusal: refuser.New(refuser.Cut, "the answer could not be passed on: %w", err).WithRun(descriptor.RunYes)}
	}
	return Answered{Status: answer.Status}
}

// pass passes on the rest of an answer as it comes.
func (e *exchange) pass(answer *exchanger.Answer) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Read(buffer)
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
