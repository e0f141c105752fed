package coordinator

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/citronpier/citronpier/arbiter"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/replayer"
)

const (
	// maxOutcomeBytes is the largest answer body that is stored in the log.
	maxOutcomeBytes = 64 << 10
	// releaseTimeout is how long a refused call waits for its key to be released.
	releaseTimeout = time.Second
	// maxServiceAttempts is the maximum number of upstreams that one service call is
	// tried on.
	maxServiceAttempts = 4
)

// senderCount numbers the senders of this process. A sender is one execution of a
// keyed call.
var senderCount atomic.Uint64

// runService runs a call of a plain service, which is a service other than a model
// engine.
func (r *run) runService(ctx context.Context) error {
	rule, ok := r.coordinator.config.Rules().Service(r.req.GetService())
	if !ok {
		return refuser.New(refuser.Service, "no rule names the service %q", r.req.GetService())
	}
	if !rule.Once {
		reply, err := r.dispatchService(ctx, rule, 0)
		if err != nil {
			return err
		}
		return r.emitReply(reply)
	}
	if r.req.GetKey() == "" {
		return r.serveUnkeyed(ctx, rule)
	}
	return r.serveKeyed(ctx, rule)
}

// serveUnkeyed runs an at-most-once call that has no idempotency key. Without a
// key, no later request can ask for the same call, so the log needs no record.
func (r *run) serveUnkeyed(ctx context.Context, rule parser.Service) error {
	reply, err := r.dispatchService(ctx, rule, 0)
	if err != nil {
		return r.lostRefusal(err)
	}
	return r.emitReply(reply)
}

// serveKeyed runs an at-most-once call that has an idempotency key. The caller may
// present the key again at any host. The first intent for the key in the log
// decides which sender may send the call. All other requests with the key are
// answered with that sender's outcome.
func (r *run) serveKeyed(ctx context.Context, rule parser.Service) error {
	c := r.coordinator
	key := scopedName(r.req.GetOrganisation(), r.req.GetKey())
	sender := c.config.Incarnation + "/" + strconv.FormatUint(senderCount.Add(1), 10)
	if err := r.checkKeyCoverage(); err != nil {
		return err
	}
	if _, free := r.keyVerdict(key, sender).(arbiter.Free); free {
		if err := r.commitIntent(ctx, key, sender); err != nil {
			return err
		}
	}
	switch v := r.awaitVerdict(ctx, key, sender).(type) {
	case arbiter.Owned:
		r.ownsKey = true
		return r.sendOnce(ctx, rule, key, sender, v.Fence)
	case arbiter.Settled:
		return r.replyFromOutcome(v.Outcome)
	case arbiter.Conflict:
		return refuser.New(refuser.Identity, "the key was used for another request").WithRun(descriptor.RunUnknown)
	case arbiter.OwnedByOther:
		return refuser.New(refuser.Lost, "host %s was to run the call and has recorded no outcome", v.Host).
			WithRun(descriptor.RunUnknown).WithRetry(time.Second)
	default:
		return refuser.New(refuser.Log, "the intent was not recorded").
			WithRun(descriptor.RunUnknown).WithRetry(time.Second)
	}
}

const (
	// outcomeTimeout is how long a call waits for another sender to record the
	// outcome.
	outcomeTimeout = 15 * time.Second
	// outcomeGrace is how long a call continues to wait for the outcome after the
	// sender's host was last known to be live.
	outcomeGrace = time.Second
	// outcomePollInterval is the time between two checks for the outcome.
	outcomePollInterval = 20 * time.Millisecond
)

// awaitVerdict returns the log's verdict on a key. If another sender owns the key
// and its host is live, it first waits up to outcomeTimeout for the outcome.
func (r *run) awaitVerdict(ctx context.Context, key, sender string) arbiter.Verdict {
	clock := r.coordinator.config.Clock
	startedAt := clock()
	lastLive := startedAt
	for {
		verdict := r.keyVerdict(key, sender)
		otherSender, pending := verdict.(arbiter.OwnedByOther)
		now := clock()
		if pending && r.coordinator.hostLive(otherSender.Host, now) {
			lastLive = now
		}
		if !pending || now.Sub(lastLive) > outcomeGrace || now.Sub(startedAt) > outcomeTimeout || ctx.Err() != nil {
			return verdict
		}
		waiter.Sleep(ctx, outcomePollInterval)
	}
}

// hostLive reports whether a host is in the service-discovery list and not
// suspected. A stopping host counts as live, because it completes its running
// calls.
func (c *Coordinator) hostLive(host string, now time.Time) bool {
	view := c.config.View()
	_, listed := view.Members().Host(host)
	return listed && !view.Suspected(host, now)
}

// checkKeyCoverage refuses the call if the log may have trimmed earlier records of the
// call's idempotency key. A call outside any program is not checked.
func (r *run) checkKeyCoverage() error {
	if r.previous == nil {
		return nil
	}
	return r.coordinator.checkLogCoverage(r.previous.GetOpened(), r.previous.GetProgram())
}

// keyVerdict returns what a sender may do with the call of a key, according to the
// log's records read so far.
func (r *run) keyVerdict(key, sender string) (verdict arbiter.Verdict) {
	r.coordinator.config.Replica.View(func(replayer.Status) {
		verdict = r.coordinator.config.Keys.Verdict(key, sender, []byte(r.job.digest))
	})
	return verdict
}

// commitIntent commits the sender's intent to send the call. If the log does not
// confirm the intent in time, this sender never sends the call, even if the intent
// gets into the log later.
func (r *run) commitIntent(ctx context.Context, key, sender string) error {
	c := r.coordinator
	pending, err := c.config.Committer.Submit(&recorder.Record{Body: &recorder.Record_Intent{Intent: &recorder.Intent{
		Key: key, Sender: sender, Digest: []byte(r.job.digest), Host: c.config.Self.ID, Service: r.req.GetService(),
	}}})
	if err != nil {
		return r.intentRefusal(err)
	}
	timeout := time.NewTimer(commitTimeout)
	defer timeout.Stop()
	select {
	case <-pending.Done():
		if _, err := pending.Offset(); err != nil {
			return r.intentRefusal(err)
		}
		c.config.Counters.Reached(counter.StageIntended)
		return nil
	case <-ctx.Done():
	case <-timeout.C:
	}
	if !c.config.Committer.Withdraw(pending) {
		// The intent may still get into the log and block the key. Release the
		// key once the append has ended.
		go func() {
			<-pending.Done()
			c.releaseKey(key, sender)
		}()
	}
	return r.intentRefusal(&timeoutError{})
}

// timeoutError reports that the log did not confirm an intent in time.
type timeoutError struct{}

func (*timeoutError) Error() string { return "the intent was not committed in time" }

// intentRefusal returns the refusal for a call whose intent is not known to be in
// the log. This run has not sent the call, but an earlier request with the same key
// may already have run the call. The method execute adjusts the refusal for that case.
func (r *run) intentRefusal(cause error) error {
	return refuser.New(refuser.Log, "the log does not answer: %w", cause).WithRetry(commitTimeout)
}

// releaseKey commits a release of a key whose call provably did not run, so that
// a later request can use the key. It waits up to releaseTimeout.
func (c *Coordinator) releaseKey(key, sender string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	pending, err := c.config.Committer.Submit(&recorder.Record{Body: &recorder.Record_Release{
		Release: &recorder.Release{Key: key, Sender: sender},
	}})
	if err != nil {
		c.config.Logger.Warn().Err(err).Msg("release record could not be queued; the key stays taken")
		return
	}
	select {
	case <-pending.Done():
	case <-ctx.Done():
	}
}
