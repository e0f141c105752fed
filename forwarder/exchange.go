package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// retryAfterRefusals is the delay after which a caller should retry when no
	// upstream took the request.
	retryAfterRefusals = 100 * time.Millisecond
	// retryAfterNoUpstream is the delay after which a caller should retry when the
	// service-discovery list has no usable upstream of the service.
	retryAfterNoUpstream = 500 * time.Millisecond
	// retryAfterStopping is the delay after which a caller should retry when this host is
	// stopping. Another host takes the request at once.
	retryAfterStopping = 10 * time.Millisecond
)

// exchange is the state of one request from its arrival to its outcome.
type exchange struct {
	*Forwarder
	request descriptor.Request
	// fingerprint identifies the request over all attempts of its caller.
	fingerprint isolator.Fingerprint
	sink        Sink
	route       descriptor.Route
	service     descriptor.Service
	// authenticated is true if requests need a key, and organisation is the one that holds the
	// key of this request.
	authenticated bool
	organisation  descriptor.Organisation
	// allowance is the credit of the organisation that the request has spent.
	allowance spentAllowance
	// version is the version of the configuration that was in force when the request
	// arrived.
	version int64
	// began is when the request arrived.
	began time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time

	// admission is what the admission of programs keeps of the request.
	admission admission
	// memory is what the request keeps of responses.
	memory *allocator.Grant
	// turn is the part of the state that concerns the program; nil unless the response is a stream.
	turn *turn

	// caller is done when the caller has disconnected or the deadline has passed.
	caller context.Context
	// upstream is the upstream to which the request was sent last, and inFlight
	// tracks the request at this upstream.
	upstream descriptor.Upstream
	inFlight *inFlightRequest
	// mayHaveRun is true if at least one upstream may have run the request.
	mayHaveRun bool
	// runs counts the sends after which an upstream may have run the request.
	runs int
	// sends counts all attempts to send the request to an upstream.
	sends int
	// method is how the last upstream was chosen.
	method counter.Choice
	// tried has the ids of the upstreams that have failed or refused this request.
	// These upstreams are not chosen again.
	tried map[string]bool
	// sessionUpstream is the id of the upstream that served the session's last
	// turn; it is likely to have the prompt in its cache.
	sessionUpstream string
	// programUpstream is the id of the upstream that served the last turn of any session
	// of the program. A new session's prompt begins with that of the session which
	// started it.
	programUpstream string
	// build is the software that began the stream. Only upstreams that run it may go on
	// with the stream. It is zero until the stream has begun, and for other requests.
	build descriptor.Build
	// mediaType is the type of the stream that has begun.
	mediaType string
	// unnumbered is true if the caller's last event with data has no id. Nothing names the
	// point then after which the stream would have to go on.
	unnumbered bool
	// resumeRetries counts the requests for the rest of an interrupted stream that an
	// upstream may have run, since the last event.
	resumeRetries int
	// shareAwaited is true once the request has waited for this host's part of a limit.
	shareAwaited bool
	// generated counts the tokens of the events that were sent to the caller,
	// including events whose write failed.
	generated int64
	// firstByte is when the header was sent to the caller; zero until then.
	firstByte time.Time
}

// withFields adds the fields that describe the request to a log event.
func (e *exchange) withFields(event *zerolog.Event, now time.Time) *zerolog.Event {
	event = event.Str("id", e.request.ID).Str("fingerprint", string(e.fingerprint)).Str("route", e.route.Name).Int64("config", e.version).
		Dur("took_ms", now.Sub(e.began)).Int("sends", e.sends)
	if e.authenticated {
		event = event.Str("organisation", e.organisation.Name).Str("key", e.request.Key.Short())
	}
	if e.request.Program != "" {
		event = event.Str("program", e.request.Program).Str("session", e.request.Session)
	}
	if e.request.Budget > 0 {
		event = event.Int64("budget", e.request.Budget).Int64("most", e.request.MaxTokens).Int64("generated", e.generated)
	}
	if e.turn != nil && e.turn.kind.Retain {
		event = event.Int("input", len(e.turn.input)).Int("output", len(e.turn.output))
	}
	if e.request.LastEvent != "" {
		event = event.Str("after", e.request.LastEvent).Str("resumes", e.request.Resumes)
	}
	if e.upstream.ID != "" {
		event = event.Str("upstream", e.upstream.ID).Str("version", e.upstream.Version).Int64("listed", e.upstream.HeartbeatSequence)
	}
	if !e.firstByte.IsZero() {
		event = event.Dur("first_ms", e.firstByte.Sub(e.began))
	}
	return event
}

// run returns the value that tells the caller whether the request may have run.
func (e *exchange) run() descriptor.Run {
	if e.mayHaveRun {
		return descriptor.RunUnknown
	}
	return descriptor.RunNo
}

// send sends the request to one upstream after another until one answers. After a
// failed attempt, it continues only if the request did not run or may run again. For
// a stream, after is the id of the last event that the caller has received. If an
// upstream answers, send returns the response with its body unread; otherwise it
// returns the outcome of the request.
func (e *exchange) send(ctx context.Context, after string) (*exchanger.Response, Outcome) {
	for {
		now := time.Now()
		if o := e.unsendable(ctx, now); o != nil {
			return nil, o
		}
		chosen, ok := e.pickUpstream(now)
		if !ok && e.awaitShare(chosen, now) {
			continue
		}
		if !ok {
			return nil, e.noUpstreamOutcome(chosen.delay)
		}
		if !e.awaitDelay(ctx, chosen) {
			continue
		}
		e.countChoice(chosen)
		response, err := e.sendTo(ctx, chosen, after, time.Now())
		if err == nil {
			return response, nil
		}
		if o := e.recordFailure(ctx, chosen.Upstream, err); o != nil {
			return nil, o
		}
	}
}

// sendTo sends the request to one upstream and waits for the header of the response.
func (e *exchange) sendTo(ctx context.Context, chosen choice, after string, now time.Time) (*exchanger.Response, error) {
	u := chosen.Upstream
	e.upstream = u
	e.sends++
	e.config.Counters.Reached(counter.StageDispatched)
	e.inFlight = e.config.Tracker.begin(chosen, e.request.PromptParts, now)
	response, err := e.config.Exchanger.Send(ctx, u, exchanger.Attempt{
		Request:       e.request,
		Timeout:       e.remaining(now),
		Urgency:       e.urgency(),
		Authenticated: e.authenticated,
		Organisation:  e.organisation.Name,
		LastEventID:   after,
		HeaderTimeout: e.headerTimeout(chosen, now),
		Withdrawn:     func(now time.Time) bool { return e.unsendable(ctx, now) != nil },
	}, now)
	e.learnNotice(u, response, err)
	if err != nil {
		failed := time.Now()
		e.config.Tracker.end(e.inFlight, e.resultOfSendError(ctx, err), failed)
		e.countDefect(err)
		e.examineLoss(ctx, u, err, failed)
		return nil, err
	}
	e.config.Tracker.recordResponseStart(e.inFlight, time.Now())
	return response, nil
}

// countDefect counts a response that was lost because it is broken. err is the error of the
// attempt, or nil.
func (e *exchange) countDefect(err error) {
	if defect, broken := exchanger.DefectOf(err); broken {
		e.config.Counters.Dropped.Add("answer_"+string(defect), 1)
	}
}

// headerTimeout returns how long an upstream may take to begin its response before
// the request is sent to another upstream. It returns 0, which means no limit, for a
// request that may not run again, and if there is no other upstream.
func (e *exchange) headerTimeout(chosen choice, now time.Time) time.Duration {
	if chosen.only || !e.repeatable(e.runs+1) {
		return 0
	}
	// The next upstream must have at least half of the remaining time.
	return min(e.config.Tracker.OverdueAfter(e.service.Name), e.remaining(now)/2)
}

// resultOfSendError returns how the error of a failed send counts in the health of
// the upstream. It returns resultUnknown if the upstream answered that it did not run
// the request, or if the request was cancelled or withdrawn.
func (e *exchange) resultOfSendError(ctx context.Context, err error) result {
	var notRun *exchanger.NotRunError
	var withdrawn *exchanger.WithdrawnError
	if ctx.Err() != nil || errors.As(err, &notRun) || errors.As(err, &withdrawn) {
		return resultUnknown
	}
	return resultFailed
}

// recordFailure logs and counts a failure to send the request to u or to read the
// response of u. It returns the outcome of the request, or nil if the request may be
// sent to another upstream.
func (e *exchange) recordFailure(ctx context.Context, u descriptor.Upstream, err error) Outcome {
	e.tried = withTried(e.tried, u.ID)
	var unsent *connector.UnsentError
	var notRun *exchanger.NotRunError
	event := e.config.Logger.Info().Err(err).Str("id", e.request.ID).Str("upstream", u.ID).Int64("listed", u.HeartbeatSequence)
	switch {
	case errors.As(err, &notRun):
		event.Msg("upstream did not run the request")
		e.countRefusal(time.Now())
		return e.retryAfterNotRun(notRun)
	case errors.As(err, &unsent):
		event.Msg("request not sent to upstream")
		e.config.Counters.Retried(counter.RetryUnsent)
		return nil
	}
	e.mayHaveRun = true
	e.runs++
	if o := e.contextOutcome(ctx); o != nil {
		return o
	}
	event.Str("fingerprint", string(e.fingerprint)).Int("runs", e.runs).Msg("response of upstream lost")
	if e.repeatable(e.runs) {
		return e.retry(retryReason(err), time.Now())
	}
	return refused(refuser.New(refuser.Lost, "the answer was lost: %w", err).WithRun(descriptor.RunUnknown))
}

// retryReason returns the metrics label for the retry of a request that may already
// have run. err is the error of the previous attempt.
func retryReason(err error) counter.Retry {
	var overdue *exchanger.HeaderTimeoutError
	if errors.As(err, &overdue) {
		return counter.RetryOverdue
	}
	var exhausted *allocator.ExhaustedError
	if errors.As(err, &exhausted) {
		return counter.RetryMemory
	}
	if _, broken := exchanger.DefectOf(err); broken {
		return counter.RetryBroken
	}
	return counter.RetryUpstream
}

// repeatable reports whether the request may run again if it may already have run the
// given number of times.
func (e *exchange) repeatable(runs int) bool {
	_, idempotent := e.route.Kind.(descriptor.Idempotent)
	return idempotent && runs < e.route.Attempts
}

// noUpstreamOutcome returns the outcome of a request for which no untried upstream
// is left. limited is the time until the limits that upstreams name allow a request, or 0.
func (e *exchange) noUpstreamOutcome(limited time.Duration) Outcome {
	if e.mayHaveRun {
		return refused(refuser.New(refuser.Lost, "the answer was lost and no upstream is left").WithRun(descriptor.RunUnknown))
	}
	if limited > 0 {
		return refused(refuser.New(refuser.Limited, "the upstreams of service %s take no more requests now than the limits that they name",
			e.service.Name).WithRetry(limited))
	}
	_, listed := e.config.Upstreams()
	if listed && len(e.tried) == 0 && e.build != (descriptor.Build{}) {
		return refused(refuser.New(refuser.Resume, "%w, which began the stream", &NoUpstreamError{Build: e.build}))
	}
	if len(e.tried) == 0 {
		return refused(refuser.New(refuser.Capacity, "no upstream of service %s is listed", e.service.Name).WithRetry(retryAfterNoUpstream))
	}
	return refused(refuser.New(refuser.Capacity, "%d upstreams of service %s did not take the request",
		len(e.tried), e.service.Name).WithRetry(retryAfterRefusals))
}

// withTried adds an upstream's id to a set and returns the set. It creates the set if
// tried is nil.
func withTried(tried map[string]bool, id string) map[string]bool {
	if tried == nil {
		tried = make(map[string]bool)
	}
	tried[id] = true
	return tried
}
