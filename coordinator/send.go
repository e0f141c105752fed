package coordinator

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/router"
)

// sendOnce sends a keyed call and records its outcome. No other code sends such a
// call, and for each key the log lets only one sender reach this method. If the
// call provably did not run, sendOnce releases the key instead.
func (r *run) sendOnce(ctx context.Context, rule parser.Service, key, sender string, fence int64) error {
	if !rule.Fenced {
		fence = 0
	}
	reply, err := r.dispatchService(ctx, rule, fence)
	if err == nil {
		r.recordOutcome(key, sender, reply)
		return r.emitReply(reply)
	}
	refusal := refuser.From(err)
	if refusal.Run == descriptor.RunNo {
		r.coordinator.releaseKey(key, sender)
		return refusal
	}
	r.coordinator.submitRecord(&recorder.Record{Body: &recorder.Record_Outcome{
		Outcome: &recorder.Outcome{Key: key, Sender: sender, Unknown: true},
	}})
	return r.lostRefusal(err)
}

// recordOutcome queues the outcome of a keyed call for the log. The body is left
// out if it is larger than maxOutcomeBytes.
func (r *run) recordOutcome(key, sender string, reply *messenger.Reply) {
	outcome := &recorder.Outcome{Key: key, Sender: sender, Status: reply.GetStatus(), Type: reply.GetType()}
	if len(reply.GetBody()) <= maxOutcomeBytes {
		outcome.Body = reply.GetBody()
	}
	r.coordinator.submitRecord(&recorder.Record{Body: &recorder.Record_Outcome{Outcome: outcome}})
}

// submitRecord queues a record for the log and does not wait for its commit.
func (c *Coordinator) submitRecord(record *recorder.Record) {
	if _, err := c.config.Committer.Submit(record); err != nil {
		c.config.Logger.Warn().Err(err).Msg("record could not be queued for the log")
	}
}

// replyFromOutcome answers the call with the outcome in the log.
func (r *run) replyFromOutcome(o *recorder.Outcome) error {
	if o.GetUnknown() {
		return refuser.New(refuser.Lost, "the call may have run and its answer is lost").WithRun(descriptor.RunUnknown)
	}
	return r.emitReply(&messenger.Reply{Status: o.GetStatus(), Type: o.GetType(), Body: o.GetBody()})
}

// lostRefusal returns the refusal for an at-most-once call that failed. Unless the
// call provably did not run, it is reported as lost.
func (r *run) lostRefusal(err error) error {
	refusal := refuser.From(err)
	if refusal.Run == descriptor.RunNo {
		return refusal
	}
	c := r.coordinator
	c.config.Reporter.Lost(r.req.GetKey(), r.req.GetService(), c.config.WallClock())
	return refuser.New(refuser.Lost, "the call may have run: %w", err).WithRun(descriptor.RunUnknown)
}

// emitReply emits the answer as the last frame. In a program, the answer carries
// the signed token that the next call presents.
func (r *run) emitReply(reply *messenger.Reply) error {
	if r.previous != nil && r.program != nil {
		token, err := r.coordinator.config.Signer.Seal(
			r.program.token(r.callNumber(), r.previous.GetDigest(), r.previous.GetMessages(), r.coordinator.config.Clock()),
		)
		if err != nil {
			return refuser.New(refuser.Internal, "%w", err).WithRun(descriptor.RunYes)
		}
		reply.Token = token
	}
	reply.Call = r.job.callID
	r.emit(messenger.ReplyFrame(reply))
	return nil
}

// dispatchService tries a service call on up to maxServiceAttempts upstreams, one
// after the other. An at-most-once call is retried only if the failed attempt
// provably did not run.
func (r *run) dispatchService(ctx context.Context, rule parser.Service, fence int64) (*messenger.Reply, error) {
	excluded := make(map[string]bool)
	var last error = refuser.New(refuser.Upstream, "no upstream runs service %q now", rule.Name).WithRetry(time.Second)
	for try := 0; try < maxServiceAttempts; try++ {
		u, ok := r.chooseService(rule.Name, excluded)
		if !ok {
			return nil, last
		}
		excluded[u.ID] = true
		reply, err := r.attemptService(ctx, u, rule, fence, try)
		if err == nil {
			return reply, nil
		}
		last = err
		if rule.Once && refuser.From(err).Run != descriptor.RunNo {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		r.coordinator.config.Counters.Retried(counter.RetryUpstream)
	}
	return nil, last
}

// chooseService returns the best of a service's upstreams that are not excluded, or
// false if there is no such upstream.
func (r *run) chooseService(name string, excluded map[string]bool) (descriptor.Upstream, bool) {
	c := r.coordinator
	var candidates []router.Candidate
	for _, u := range c.config.View().UpstreamsOfService(name) {
		if excluded[u.ID] {
			continue
		}
		candidate := router.Candidate{Upstream: u}
		candidate.Wait, candidate.BreakerOpen = c.loads.expectedWait(u.ID, u.Slots)
		candidates = append(candidates, candidate)
	}
	best, ok := router.Choose(candidates, router.Request{Key: r.job.callID, DataCentre: c.config.Self.DataCentre})
	return best.Upstream, ok
}

// attemptService runs one attempt of a service call on upstream u. The Run field of
// the returned refusal reports whether the attempt may have run.
func (r *run) attemptService(ctx context.Context, u descriptor.Upstream, rule parser.Service, fence int64, try int) (*messenger.Reply, error) {
	c := r.coordinator
	home, ok := c.config.View().UpstreamHome(u, c.config.Clock())
	if !ok {
		return nil, refuser.New(refuser.Home, "no host is home of upstream %s", u.ID).WithRetry(time.Second)
	}
	frames, err := c.config.Dispatch(ctx, home, &messenger.DispatchRequest{
		Upstream: u.ID, Call: attemptID(r.job.callID, try), Organisation: r.req.GetOrganisation(),
		Program: r.req.GetProgram(), Rank: r.rankName(), Body: r.req.GetBody(), Begun: r.previous.GetNumber() > 0,
		Service: rule.Name, Path: r.req.GetPath(), Type: r.req.GetType(), Key: r.req.GetKey(),
		Fence: fence, Once: rule.Once,
	})
	if err != nil {
		c.config.Suspect(home)
		return nil, homeRefusal(err)
	}
	defer func() { _ = frames.Close() }()
	for {
		f, err := frames.Next()
		if err != nil {
			c.config.Suspect(home)
			return nil, refuser.New(refuser.Home, "%w", err).WithRun(descriptor.RunUnknown)
		}
		switch body := f.GetBody().(type) {
		case *messenger.Frame_Reply:
			return body.Reply, nil
		case *messenger.Frame_Fault:
			return nil, body.Fault.Refusal()
		}
	}
}
