package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/internal/waiter"
)

const (
	// maxResumeRetries is the maximum number of requests for the rest of a stream that an
	// upstream may have run and that brought no further event.
	maxResumeRetries = 3
	// resumePause is the time before the rest of a stream is requested again.
	resumePause = 20 * time.Millisecond
)

// resumeInterrupted requests the events of an interrupted stream after the event with the id last,
// from one upstream of the stream's build after another until one answers. It returns nil
// if the stream can't be resumed.
func (e *exchange) resumeInterrupted(ctx context.Context, t *turn, last string, cause error) *exchanger.Response {
	var incomplete *exchanger.IncompleteError
	if !t.kind.Resumable || e.unnumbered || !errors.As(cause, &incomplete) {
		return nil
	}
	e.config.Logger.Info().Err(cause).Str("id", e.request.ID).Str("fingerprint", string(e.fingerprint)).Str("upstream", e.upstream.ID).
		Str("version", e.upstream.Version).Str("after", last).Msg("stream interrupted, resuming")
	e.config.Counters.Retried(counter.RetryResume)
	// An upstream that was full when the stream began may have room now.
	e.tried = nil
	for e.resumeRetries < maxResumeRetries {
		if e.resumeRetries > 0 {
			waiter.Sleep(ctx, resumePause)
		}
		if ctx.Err() != nil || e.quarantined(time.Now()) != nil || e.revoked() != nil {
			return nil
		}
		response, err := e.sendForRest(ctx, last)
		if err == nil {
			e.resumeRetries++
			return e.restOf(ctx, response, last)
		}
		if !e.retryRest(err) {
			return nil
		}
	}
	return nil
}

// retryRest logs and counts a failed request for the rest of a stream. It returns false if
// no upstream is left.
func (e *exchange) retryRest(err error) bool {
	var none *NoUpstreamError
	if errors.As(err, &none) {
		e.config.Logger.Info().Err(err).Str("id", e.request.ID).Msg("rest of stream not received")
		return false
	}
	e.config.Logger.Info().Err(err).Str("id", e.request.ID).Str("upstream", e.upstream.ID).Msg("rest of stream not received")
	e.tried = withTried(e.tried, e.upstream.ID)
	var incomplete *exchanger.IncompleteError
	if errors.As(err, &incomplete) {
		e.resumeRetries++
	}
	return true
}

// restOf returns a response with the rest of a stream, or nil if its status is not 200 or its
// type is not that of the stream: it is an error then.
func (e *exchange) restOf(ctx context.Context, response *exchanger.Response, last string) *exchanger.Response {
	event := e.config.Logger.Info().Str("id", e.request.ID).Str("upstream", e.upstream.ID).Str("version", e.upstream.Version).Str("after", last)
	if got := mediaType(response.Header); response.Status != http.StatusOK || got != e.mediaType {
		event.Int("status", response.Status).Str("type", got).Msg("stream not resumed: the upstream answered with an error")
		e.closeResponse(ctx, response, nil)
		return nil
	}
	event.Msg("stream resumed")
	return response
}

// mediaType returns the type of a response's body without its parameters, in lower case.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// sendForRest sends the request for the events after the event with the id last: to the
// same upstream if it is usable, as a route may allow one upstream only, and otherwise to
// another one. If the limit that the same upstream names allows no request in time, nobody is
// asked.
func (e *exchange) sendForRest(ctx context.Context, last string) (*exchanger.Response, error) {
	now := time.Now()
	var chosen choice
	same, ok := e.sameUpstream(now)
	if ok {
		input := e.choiceInput(now).withLeavingGrace(e.leavingGrace())
		chosen, ok = e.config.Tracker.choose([]descriptor.Upstream{same}, input, now)
	}
	if !ok && chosen.delay == 0 {
		chosen, ok = e.pickUpstream(now)
	}
	if !ok || !e.awaitDelay(ctx, chosen) {
		return nil, &NoUpstreamError{Build: e.build}
	}
	return e.sendTo(ctx, chosen, last, time.Now())
}

// NoUpstreamError reports that no upstream that was not tried yet runs a build.
type NoUpstreamError struct{ Build descriptor.Build }

// Error implements the error interface.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream of service %s runs version %s", e.Build.Service, e.Build.Version)
}
