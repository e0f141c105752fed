package forwarder

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/refuser"
)

// unsendable returns the outcome of a request that must not be sent to an upstream any more,
// and nil if it may be sent. It is asked after each wait: the caller may have left, the deadline
// may have passed, the host may be stopping, the request may have crashed upstreams, or its key may have
// been revoked. ctx is
// the context of the send, which outlives the caller of a request that may run once.
func (e *exchange) unsendable(ctx context.Context, now time.Time) Outcome {
	if o := e.contextOutcome(ctx); o != nil {
		return o
	}
	if o := e.contextOutcome(e.caller); o != nil {
		return o
	}
	if o := e.quarantined(now); o != nil {
		return o
	}
	if o := e.revoked(); o != nil {
		return o
	}
	if o := e.allowanceExpired(); o != nil {
		return o
	}
	return e.outlastsStop()
}

// outlastsStop returns the outcome of a request that no upstream may have run yet and that
// this host would abort in its planned stop, and nil for other requests.
func (e *exchange) outlastsStop() Outcome {
	if e.config.LastDeadline == nil || e.mayHaveRun {
		return nil
	}
	latest, stopping := e.config.LastDeadline()
	if !stopping || !e.deadline.After(latest) {
		return nil
	}
	return refused(refuser.New(refuser.Leaving, "the host is stopping and would abort the request").WithRetry(retryAfterStopping))
}

// quarantined returns the outcome of a request that must not be sent to an upstream because
// upstreams ended while they ran it, and nil otherwise.
func (e *exchange) quarantined(now time.Time) Outcome {
	verdict, ok := e.config.Isolator.Verdict(e.fingerprint, now).(isolator.Refused)
	if !ok {
		return nil
	}
	if e.mayHaveRun {
		return refused(refuser.New(refuser.Lost, "the answer was lost, and the request has crashed %d upstreams", verdict.Crashes).
			WithRun(descriptor.RunUnknown))
	}
	return refused(refuser.New(refuser.Quarantine, "the request has crashed %d upstreams", verdict.Crashes).
		WithRetry(verdict.Until.Sub(now)))
}
