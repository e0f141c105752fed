package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/tidwall/sjson"

	"github.com/citronpier/citronpier/assembler"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/router"
	"github.com/citronpier/citronpier/sequencer"
)

const (
	// maxAttempts is the maximum number of attempts of one model call. An upstream that
	// fails an attempt is not chosen again for the call.
	maxAttempts = 4
	// maxReconnects is the maximum number of times that one attempt reconnects to
	// an upstream's home after the stream from the home was interrupted.
	maxReconnects = 4
	// homeRefusalPause is the pause before an attempt is sent again after a host
	// refused it because another host is home. With maxReconnects it spans the time
	// for which this host may wrongly suspect that home.
	homeRefusalPause = 500 * time.Millisecond
	// defaultMaxTokens limits the generated tokens when the caller sets no limit.
	defaultMaxTokens = 1024
	// firstRetryPause is the pause after the first failed attempt. It doubles
	// after each further attempt.
	firstRetryPause = 20 * time.Millisecond
)

// generate runs a model call. It tries up to maxAttempts upstreams, one after the
// other, until an upstream completes the answer or a failure must not be retried.
func (r *run) generate(ctx context.Context) error {
	c := r.coordinator
	r.fingerprint = isolator.NewFingerprint(r.req.GetModel(), r.req.GetPresented())
	g := generation{run: r, body: r.req.GetBody(), excluded: make(map[string]bool)}
	var last error
	for try := 0; try < maxAttempts; try++ {
		if err := g.checkCrashes(time.Now()); err != nil {
			return err
		}
		if try > 0 {
			if err := c.confirmHolder(ctx, g.program); err != nil {
				return err
			}
		}
		done, err := g.attempt(ctx, try)
		if done {
			return err
		}
		last = err
		c.config.Counters.Retried(counter.RetryUpstream)
		waiter.Sleep(ctx, firstRetryPause<<try)
		if ctx.Err() != nil {
			return refuser.New(refuser.Cancelled, "cancelled").WithRun(descriptor.RunUnknown)
		}
	}
	return last
}

// generation holds the state of a model call that outlives a single attempt.
type generation struct {
	*run
	// body is the request body for the next attempt. After a failed streamed
	// attempt, it includes the part of the answer that was generated so far.
	body []byte
	// assembler collects the chunks of the answer.
	assembler assembler.Assembler
	// excluded holds the ids of the upstreams whose attempts failed.
	excluded map[string]bool
	// basePosition is the number of chunks that earlier attempts delivered. The
	// chunks of the current attempt are numbered from basePosition.
	basePosition int64
}

// checkCrashes refuses a request that has crashed upstreams repeatedly. It marks a
// request that has crashed an upstream once as a suspect.
func (g *generation) checkCrashes(now time.Time) error {
	switch g.coordinator.config.Isolator.Verdict(g.fingerprint, now).(type) {
	case isolator.Refused:
		return refuser.New(refuser.Poison, "the request crashed the upstreams that ran it").WithRun(descriptor.RunYes)
	case isolator.Suspect:
		g.suspect = true
	}
	return nil
}

// attempt reserves budget and runs the call on one upstream. done is false if the
// attempt failed and another attempt may follow; err is then the error of this
// attempt. Otherwise done is true, and err is the result of the call.
func (g *generation) attempt(ctx context.Context, try int) (done bool, err error) {
	cost := g.maxCost()
	if err := g.coordinator.reserve(ctx, g.program, cost); err != nil {
		return true, err
	}
	u, ok := g.chooseUpstream()
	if !ok {
		g.program.settle(cost, 0)
		return true, g.noUpstreamRefusal()
	}
	end, fault, err := g.relay(ctx, u, cost, try)
	switch {
	case err != nil:
		g.program.settle(cost, cost)
		return true, err
	case fault != nil:
		return g.handleFault(u, fault, cost, attemptID(g.job.callID, try))
	}
	g.program.settle(cost, g.spentTokens(end, cost))
	g.program.setUpstream(u.ID)
	g.coordinator.config.Isolator.Answered(g.fingerprint, time.Now())
	return true, g.finishCall(end)
}

// maxCost returns the maximum number of tokens that the attempt may generate: the limit
// that the caller set, otherwise the lower of defaultMaxTokens and the budget left.
func (g *generation) maxCost() int64 {
	if n := g.req.GetMaxTokens(); n > 0 {
		return n
	}
	return max(1, min(defaultMaxTokens, g.program.budgetLeft()))
}

// spentTokens returns the number of tokens that the attempt generated. If the
// engine reports no usage, it returns the whole reservation.
func (g *generation) spentTokens(end *messenger.End, cost int64) int64 {
	if end.GetCompletionTokens() <= 0 {
		return cost
	}
	return end.GetCompletionTokens()
}

// noUpstreamRefusal returns the refusal for a call that found no upstream to run
// on. If an upstream in the service-discovery list serves the model, the refusal
// tells the caller to retry; otherwise it reports that no upstream serves the
// model.
func (g *generation) noUpstreamRefusal() error {
	model := g.req.GetModel()
	if g.coordinator.modelListed(model) {
		return refuser.New(refuser.Upstream, "no upstream can run model %q now", model).WithRetry(time.Second)
	}
	return unlistedModelRefusal(model)
}

// modelListed reports whether any upstream in the service-discovery list serves a
// model. It includes upstreams that are being taken out of service.
func (c *Coordinator) modelListed(model string) bool {
	return slices.ContainsFunc(c.config.View().Members().Upstreams, func(u descriptor.Upstream) bool {
		return u.Serves(model)
	})
}

// unlistedModelRefusal returns the refusal for a model that no upstream serves.
func unlistedModelRefusal(model string) error {
	return refuser.New(refuser.Model, "no upstream serves model %q", model)
}

// chooseUpstream returns the upstream for the next attempt, or false if no upstream is
// left to try. It prefers an upstream that has cached the program's prompt.
func (g *generation) chooseUpstream() (descriptor.Upstream, bool) {
	c := g.coordinator
	cachedAt, _ := g.program.upstreamAndServed()
	request := router.Request{Key: g.program.id, Prompt: g.req.GetPrompt(), DataCentre: c.config.Self.DataCentre}
	var candidates []router.Candidate
	for _, u := range router.Sample(c.config.View().UpstreamsOfModel(g.req.GetModel()), cachedAt, request) {
		if g.excluded[u.ID] {
			continue
		}
		candidate := router.Candidate{Upstream: u}
		candidate.Wait, candidate.BreakerOpen = c.loads.expectedWait(u.ID, u.Slots)
		if u.ID == cachedAt {
			candidate.Cached = g.req.GetPrompt()
		}
		candidates = append(candidates, candidate)
	}
	best, ok := router.ChooseBy(c.config.Routing, candidates, request)
	return best.Upstream, ok
}

// prepareNextAttempt prepares the attempt that follows a failed attempt. In a
// streamed call the caller may have seen the chunks so far, so the next attempt
// continues their text. In any other call the chunks are discarded. A started tool
// call can't be continued, so the call is refused.
func (g *generation) prepareNextAttempt() error {
	if g.assembler.Chunks() == 0 {
		return nil
	}
	if !g.req.GetStream() {
		g.assembler = assembler.Assembler{}
		g.basePosition = 0
		return nil
	}
	text, textOnly := g.assembler.Text()
	if !textOnly {
		return refuser.New(refuser.Unfinished, "the upstream failed within a tool call").WithRun(descriptor.RunYes)
	}
	body, err := withPartialAnswer(g.req.GetBody(), text)
	if err != nil {
		return refuser.New(refuser.Malformed, "%w", err)
	}
	g.body = body
	g.basePosition = g.assembler.Chunks()
	return nil
}

// finishCall creates the signed token for the ended call and emits the last frame.
// It refuses an answer that has no finish reason.
func (g *generation) finishCall(end *messenger.End) error {
	if !g.assembler.Finished() {
		return refuser.New(refuser.Unfinished, "the answer ended without a reason").WithRun(descriptor.RunYes)
	}
	c := g.coordinator
	if l := end.GetLoad(); l != nil {
		c.loads.observe([]*messenger.Load{l})
	}
	message, err := g.assembler.Message()
	if err != nil {
		return refuser.New(refuser.Internal, "%w", err).WithRun(descriptor.RunYes)
	}
	var digest sequencer.Digest
	copy(digest[:], g.req.GetPresented())
	digest = digest.Extend(message)
	token, err := c.config.Signer.Seal(g.program.token(g.callNumber(), digest[:], g.req.GetMessages()+1, c.config.Clock()))
	if err != nil {
		return refuser.New(refuser.Internal, "%w", err).WithRun(descriptor.RunYes)
	}
	end.Token = token
	end.Call = g.job.callID
	if !g.req.GetStream() {
		end.Completion, err = g.assembler.Completion()
		if err != nil {
			return refuser.New(refuser.Internal, "%w", err).WithRun(descriptor.RunYes)
		}
	}
	if g.previous == nil {
		c.finishProgram(g.program, c.config.Clock())
	}
	g.emit(messenger.EndFrame(end))
	return nil
}

// attemptID returns an id that is unique to one attempt. For the first attempt of a
// call with the id "ID", it returns "ID-a". The id prevents frames of one attempt from
// being taken for frames of another attempt.
func attemptID(call string, try int) string {
	return call + "-" + string(rune('a'+try))
}

// withSystemFields returns the request body for an upstream. The body limits the
// answer to the reserved tokens, and asks for a streamed answer with a usage report
// at the end.
func withSystemFields(body []byte, tokens int64) ([]byte, error) {
	body, err := sjson.SetBytes(body, "max_tokens", tokens)
	if err != nil {
		return nil, err
	}
	if body, err = sjson.SetBytes(body, "stream", true); err != nil {
		return nil, err
	}
	return sjson.SetBytes(body, "stream_options.include_usage", true)
}

// withPartialAnswer returns a request body that asks the upstream to continue the
// answer from the text generated so far.
func withPartialAnswer(body []byte, text string) ([]byte, error) {
	body, err := sjson.SetBytes(body, "messages.-1", map[string]string{"role": "assistant", "content": text})
	if err != nil {
		return nil, err
	}
	return sjson.SetBytes(body, "continue_final_message", true)
}
