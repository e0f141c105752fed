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
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/replayer"
	"github.com/citronpier/citronpier/router"
)

const (
	// outcomeBytes is the largest answer that is kept in the log.
	outcomeBytes = 64 << 10
	// releaseBudget is how long a refusal waits for its key to be freed.
	releaseBudget = time.Second
	// serviceAttempts is the most upstreams that a service's call is tried on.
	serviceAttempts = 4
)

var senders atomic.Uint64

// serve runs a plain service's call.
func (r *run) serve(ctx context.Context) error {
	rule, ok := r.coordinator.config.Rules().Service(r.req.GetService())
	if !ok {
		return refuser.New(refuser.Service, "no rule names the service %q", r.req.GetService())
	}
	if !rule.Once {
		reply, err := r.dispatch(ctx, rule, 0)
		if err != nil {
			return err
		}
		return r.reply(reply)
	}
	if r.req.GetKey() == "" {
		return r.serveUnkeyed(ctx, rule)
	}
	return r.serveKeyed(ctx, rule)
}

// serveUnkeyed runs a call that its caller can't ask for again: this is its
// only attempt, so nothing needs to be recorded.
func (r *run) serveUnkeyed(ctx context.Context, rule parser.Service) error {
	reply, err := r.dispatch(ctx, rule, 0)
	if err != nil {
		return r.lost(err)
	}
	return r.reply(reply)
}

// serveKeyed runs a call whose key may be presented again, at any host. The
// first intent in the log decides who sends.
func (r *run) serveKeyed(ctx context.Context, rule parser.Service) error {
	c := r.coordinator
	key := scoped(r.req.GetOrganisation(), r.req.GetKey())
	sender := c.config.Incarnation + "/" + strconv.FormatUint(senders.Add(1), 10)
	if err := r.window(); err != nil {
		return err
	}
	if _, free := r.judge(key, sender).(arbiter.Free); free {
		if err := r.intend(ctx, key, sender); err != nil {
			return err
		}
	}
	switch v := r.await(ctx, key, sender).(type) {
	case arbiter.Mine:
		r.won = true
		return r.send(ctx, rule, key, sender, v.Fence)
	case arbiter.Settled:
		return r.settled(v.Outcome)
	case arbiter.Conflict:
		return refuser.New(refuser.Identity, "the key was used for another request").WithRun(descriptor.RunUnknown)
	case arbiter.Theirs:
		return refuser.New(refuser.Lost, "host %s was to run the call and has recorded no outcome", v.Host).
			WithRun(descriptor.RunUnknown).WithRetry(time.Second)
	default:
		return refuser.New(refuser.Log, "the intent was not recorded").
			WithRun(descriptor.RunUnknown).WithRetry(time.Second)
	}
}

const (
	// outcomeBudget is how long a call waits for the outcome of its sender.
	outcomeBudget = 15 * time.Second
	// outcomeGrace is how long after the loss of the sender's host.
	outcomeGrace = time.Second
	// outcomeEvery is the time between two looks.
	outcomeEvery = 20 * time.Millisecond
)

// await returns what the log says of a key. While another sender's host is
// live, its outcome is waited for.
func (r *run) await(ctx context.Context, key, sender string) arbiter.Verdict {
	clock := r.coordinator.config.Clock
	began := clock()
	seen := began
	for {
		verdict := r.judge(key, sender)
		theirs, pending := verdict.(arbiter.Theirs)
		now := clock()
		if pending && r.coordinator.live(theirs.Host, now) {
			seen = now
		}
		if !pending || now.Sub(seen) > outcomeGrace || now.Sub(began) > outcomeBudget || ctx.Err() != nil {
			return verdict
		}
		waiter.Sleep(ctx, outcomeEvery)
	}
}

// live reports whether a host is listed and not suspected. A stopping host
// ends the calls that it has.
func (c *Coordinator) live(host string, now time.Time) bool {
	view := c.config.View()
	_, listed := view.Members().Host(host)
	return listed && !view.Suspected(host, now)
}

// window refuses a key whose earlier records the log may have dropped.
func (r *run) window() error {
	if r.previous == nil {
		return nil
	}
	return r.coordinator.covered(r.previous.GetOpened(), r.previous.GetProgram())
}

func (r *run) judge(key, sender string) (verdict arbiter.Verdict) {
	r.coordinator.config.Replica.View(func(replayer.Status) {
		verdict = r.coordinator.config.Keys.Judge(key, sender, []byte(r.job.digest))
	})
	return verdict
}

// intend records the intent to send. Where the log does not answer in time the
// call is not sent by this sender, now or later.
func (r *run) intend(ctx context.Context, key, sender string) error {
	c := r.coordinator
	pending, err := c.config.Committer.Submit(&recorder.Record{Body: &recorder.Record_Intent{Intent: &recorder.Intent{
		Key: key, Sender: sender, Digest: []byte(r.job.digest), Host: c.config.Self.ID, Service: r.req.GetService(),
	}}})
	if err != nil {
		return r.unrecorded(err)
	}
	budget := time.NewTimer(commitBudget)
	defer budget.Stop()
	select {
	case <-pending.Done():
		if _, err := pending.Offset(); err != nil {
			return r.unrecorded(err)
		}
		c.config.Counters.Reached(counter.StageIntended)
		return nil
	case <-ctx.Done():
	case <-budget.C:
	}
	if !c.config.Committer.Withdraw(pending) {
		// The record may still get into the log; it then has to free the key.
		go func() {
			<-pending.Done()
			c.release(key, sender)
		}()
	}
	return r.unrecorded(&timeoutError{})
}

// timeoutError says that the log did not answer in time.
type timeoutError struct{}

func (*timeoutError) Error() string { return "no answer in time" }

// unrecorded refuses a call whose intent is not known to be in the log. This
// attempt is not sent; execute adds what is known of earlier ones.
func (r *run) unrecorded(cause error) error {
	return refuser.New(refuser.Log, "the log does not answer: %w", cause).WithRetry(commitBudget)
}

// release frees a key whose call was never sent.
func (c *Coordinator) release(key, sender string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseBudget)
	defer cancel()
	pending, err := c.config.Committer.Submit(&recorder.Record{Body: &recorder.Record_Release{
		Release: &recorder.Release{Key: key, Sender: sender},
	}})
	if err != nil {
		c.config.Logger.Warn().Err(err).Msg("key was not released")
		return
	}
	select {
	case <-pending.Done():
	case <-ctx.Done():
	}
}

// send sends the call. It is the only place that does, and the log lets one
// sender get here for a key.
func (r *run) send(ctx context.Context, rule parser.Service, key, sender string, fence int64) error {
	if !rule.Fenced {
		fence = 0
	}
	reply, err := r.dispatch(ctx, rule, fence)
	if err == nil {
		r.record(key, sender, reply)
		return r.reply(reply)
	}
	refusal := refuser.From(err)
	if refusal.Run == descriptor.RunNo {
		r.coordinator.release(key, sender)
		return refusal
	}
	r.coordinator.submit(&recorder.Record{Body: &recorder.Record_Outcome{
		Outcome: &recorder.Outcome{Key: key, Sender: sender, Unknown: true},
	}})
	return r.lost(err)
}

func (r *run) record(key, sender string, reply *messenger.Reply) {
	outcome := &recorder.Outcome{Key: key, Sender: sender, Status: reply.GetStatus(), Type: reply.GetType()}
	if len(reply.GetBody()) <= outcomeBytes {
		outcome.Body = reply.GetBody()
	}
	r.coordinator.submit(&recorder.Record{Body: &recorder.Record_Outcome{Outcome: outcome}})
}

// submit queues a record that no one waits for.
func (c *Coordinator) submit(record *recorder.Record) {
	if _, err := c.config.Committer.Submit(record); err != nil {
		c.config.Logger.Warn().Err(err).Msg("record was not queued")
	}
}

// settled answers from the recorded outcome.
func (r *run) settled(o *recorder.Outcome) error {
	if o.GetUnknown() {
		return refuser.New(refuser.Lost, "the call may have run and its answer is lost").WithRun(descriptor.RunUnknown)
	}
	return r.reply(&messenger.Reply{Status: o.GetStatus(), Type: o.GetType(), Body: o.GetBody()})
}

// lost turns the failure of a call that may not be repeated into what is known.
func (r *run) lost(err error) error {
	refusal := refuser.From(err)
	if refusal.Run == descriptor.RunNo {
		return refusal
	}
	c := r.coordinator
	c.config.Reporter.Lost(r.req.GetKey(), r.req.GetService(), c.config.Wall())
	return refuser.New(refuser.Lost, "the call may have run: %w", err).WithRun(descriptor.RunUnknown)
}

// reply emits the answer with the token of the ended call.
func (r *run) reply(reply *messenger.Reply) error {
	if r.previous != nil && r.program != nil {
		token, err := r.coordinator.config.Signer.Seal(
			r.program.token(r.number(), r.previous.GetDigest(), r.previous.GetMessages(), r.coordinator.config.Clock()),
		)
		if err != nil {
			return refuser.New(refuser.Internal, "%w", err).WithRun(descriptor.RunYes)
		}
		reply.Token = token
	}
	reply.Call = r.job.call
	r.emit(messenger.ReplyFrame(reply))
	return nil
}

// dispatch sends a service's call to one upstream after the other while it is
// provable that none has run it, or while it may be repeated.
func (r *run) dispatch(ctx context.Context, rule parser.Service, fence int64) (*messenger.Reply, error) {
	excluded := make(map[string]bool)
	var last error = refuser.New(refuser.Upstream, "no upstream runs service %q now", rule.Name).WithRetry(time.Second)
	for try := 0; try < serviceAttempts; try++ {
		u, ok := r.chooseService(rule.Name, excluded)
		if !ok {
			return nil, last
		}
		excluded[u.ID] = true
		reply, err := r.dispatchTo(ctx, u, rule, fence, try)
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

func (r *run) chooseService(name string, excluded map[string]bool) (descriptor.Upstream, bool) {
	c := r.coordinator
	var candidates []router.Candidate
	for _, u := range c.config.View().Service(name) {
		if excluded[u.ID] {
			continue
		}
		candidate := router.Candidate{Upstream: u}
		candidate.Wait, candidate.Broken = c.loads.wait(u.ID, u.Slots)
		candidates = append(candidates, candidate)
	}
	best, ok := router.Choose(candidates, router.Request{Key: r.job.call, DataCentre: c.config.Self.DataCentre})
	return best.Upstream, ok
}

// dispatchTo runs one attempt. The error's Run says what is known of it.
func (r *run) dispatchTo(ctx context.Context, u descriptor.Upstream, rule parser.Service, fence int64, try int) (*messenger.Reply, error) {
	c := r.coordinator
	home, ok := c.config.View().UpstreamHome(u, c.config.Clock())
	if !ok {
		return nil, refuser.New(refuser.Home, "no host is home of upstream %s", u.ID).WithRetry(time.Second)
	}
	frames, err := c.config.Dispatch(ctx, home, &messenger.DispatchRequest{
		Upstream: u.ID, Call: attemptID(r.job.call, try), Organisation: r.req.GetOrganisation(),
		Program: r.req.GetProgram(), Rank: r.rank(), Body: r.req.GetBody(), Begun: r.previous.GetNumber() > 0,
		Service: rule.Name, Path: r.req.GetPath(), Type: r.req.GetType(), Key: r.req.GetKey(),
		Fence: fence, Once: rule.Once,
	})
	if err != nil {
		c.config.Suspect(home)
		return nil, undelivered(err)
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
