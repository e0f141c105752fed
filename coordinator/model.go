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
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/router"
	"github.com/citronpier/citronpier/sequencer"
)

const (
	// attempts is the most upstreams that one call is tried on.
	attempts = 4
	// peerBreaks is the most broken streams from upstream homes per attempt.
	peerBreaks = 4
	// defaultTokens is the longest answer where the caller sets no limit.
	defaultTokens = 1024
	// retryPause is the first pause between attempts.
	retryPause = 20 * time.Millisecond
)

// generate runs a model call on one upstream after the other until an answer
// is whole.
func (r *run) generate(ctx context.Context) error {
	c := r.coordinator
	r.print = isolator.Print(r.req.GetModel(), r.req.GetPresented())
	g := generation{run: r, body: r.req.GetBody(), excluded: make(map[string]bool)}
	var last error
	for try := 0; try < attempts; try++ {
		if err := g.screen(); err != nil {
			return err
		}
		if try > 0 {
			if err := c.confirm(ctx, g.program); err != nil {
				return err
			}
		}
		done, err := g.attempt(ctx, try)
		if done {
			return err
		}
		last = err
		c.config.Counters.Retried(counter.RetryUpstream)
		waiter.Sleep(ctx, retryPause<<try)
		if ctx.Err() != nil {
			return refuser.New(refuser.Cancelled, "cancelled").WithRun(descriptor.RunUnknown)
		}
	}
	return last
}

// generation is the state of a model call over its attempts.
type generation struct {
	*run
	body      []byte
	assembler assembler.Assembler
	excluded  map[string]bool
	// base is the position at which the present attempt begins.
	base int64
}

// screen refuses a request that crashed the upstreams that ran it.
func (g *generation) screen() error {
	switch g.coordinator.config.Isolator.Judge(g.print).(type) {
	case isolator.Refused:
		return refuser.New(refuser.Poison, "the request crashed the upstreams that ran it").WithRun(descriptor.RunYes)
	case isolator.Suspect:
		g.alone = true
	}
	return nil
}

// attempt runs the call on one upstream. Done says that the call has ended.
func (g *generation) attempt(ctx context.Context, try int) (done bool, err error) {
	cost := g.cost()
	if err := g.coordinator.reserve(ctx, g.program, cost); err != nil {
		return true, err
	}
	u, ok := g.choose()
	if !ok {
		g.program.settle(cost, 0)
		return true, g.noUpstream()
	}
	end, fault, err := g.relay(ctx, u, cost, try)
	switch {
	case err != nil:
		g.program.settle(cost, cost)
		return true, err
	case fault != nil:
		return g.faulted(u, fault, cost, attemptID(g.job.call, try))
	}
	g.program.settle(cost, g.spent(end, cost))
	g.program.placed(u.ID)
	g.coordinator.config.Isolator.Survived(g.print)
	return true, g.finish(end)
}

// cost is the most that the attempt can generate.
func (g *generation) cost() int64 {
	if n := g.req.GetMaxTokens(); n > 0 {
		return n
	}
	return max(1, min(defaultTokens, g.program.left()))
}

// spent returns what the attempt cost. An engine that reports no usage is
// charged the reservation.
func (g *generation) spent(end *messenger.End, cost int64) int64 {
	if end.GetCompletionTokens() <= 0 {
		return cost
	}
	return end.GetCompletionTokens()
}

func (g *generation) noUpstream() error {
	model := g.req.GetModel()
	if g.coordinator.listed(model) {
		return refuser.New(refuser.Upstream, "no upstream can run model %q now", model).WithRetry(time.Second)
	}
	return unlisted(model)
}

// listed reports whether an upstream lists a model, leaving ones included.
func (c *Coordinator) listed(model string) bool {
	return slices.ContainsFunc(c.config.View().Members().Upstreams, func(u descriptor.Upstream) bool {
		return u.Serves(model)
	})
}

func unlisted(model string) error {
	return refuser.New(refuser.Model, "no upstream serves model %q", model)
}

// choose returns the upstream for the next attempt.
func (g *generation) choose() (descriptor.Upstream, bool) {
	c := g.coordinator
	held, _ := g.program.place()
	request := router.Request{Key: g.program.id, Prompt: g.req.GetPrompt(), DataCentre: c.config.Self.DataCentre}
	var candidates []router.Candidate
	for _, u := range router.Sample(c.config.View().Serving(g.req.GetModel()), held, request) {
		if g.excluded[u.ID] {
			continue
		}
		candidate := router.Candidate{Upstream: u}
		candidate.Wait, candidate.Broken = c.loads.wait(u.ID, u.Slots)
		if u.ID == held {
			candidate.Cached = g.req.GetPrompt()
		}
		candidates = append(candidates, candidate)
	}
	best, ok := router.ChooseBy(c.config.Routing, candidates, request)
	return best.Upstream, ok
}

// relay sends an attempt to the upstream's home and passes on what comes back.
// Where the home is lost, the next one resumes the call at the upstream.
func (g *generation) relay(ctx context.Context, u descriptor.Upstream, cost int64, try int) (*messenger.End, *messenger.Fault, error) {
	c := g.coordinator
	body, err := prepare(g.body, cost)
	if err != nil {
		return nil, nil, refuser.New(refuser.Malformed, "%w", err)
	}
	req := g.dispatchRequest(u, body, cost, try)
	for broken := 0; ; broken++ {
		home, ok := c.config.View().UpstreamHome(u, c.config.Clock())
		if !ok {
			return nil, nil, refuser.New(refuser.Home, "no host is home of upstream %s", u.ID).WithRetry(time.Second)
		}
		c.loads.dispatched(u.ID)
		end, fault, sent, err := g.stream(ctx, home, req)
		if err == nil {
			return end, fault, nil
		}
		if ctx.Err() != nil {
			return nil, nil, refuser.New(refuser.Cancelled, "cancelled").WithRun(descriptor.RunUnknown)
		}
		if broken == peerBreaks {
			return nil, nil, refuser.New(refuser.Home, "%w", err).WithRun(descriptor.RunUnknown)
		}
		c.config.Suspect(home)
		c.config.Counters.Retried(counter.RetryHome)
		if err := c.confirm(ctx, g.program); err != nil {
			return nil, nil, err
		}
		req.Resume = req.GetResume() || sent
		req.From = g.assembler.Parts() - g.base
	}
}

func (g *generation) dispatchRequest(u descriptor.Upstream, body []byte, cost int64, try int) *messenger.DispatchRequest {
	_, served := g.program.place()
	return &messenger.DispatchRequest{
		Upstream:     u.ID,
		Call:         attemptID(g.job.call, try),
		Organisation: g.req.GetOrganisation(),
		Program:      g.program.id,
		Rank:         g.rank(),
		Model:        g.req.GetModel(),
		Body:         body,
		MaxTokens:    cost,
		Served:       served,
		Begun:        g.previous.GetNumber() > 0,
		Prompt:       g.req.GetPrompt(),
		Alone:        g.alone,
	}
}

// stream relays one stream of an upstream's home.
func (g *generation) stream(ctx context.Context, home descriptor.Host, req *messenger.DispatchRequest) (end *messenger.End, fault *messenger.Fault, sent bool, err error) {
	frames, err := g.coordinator.config.Dispatch(ctx, home, req)
	if err != nil {
		return nil, nil, false, err
	}
	defer func() { _ = frames.Close() }()
	for {
		f, err := frames.Next()
		if err != nil {
			return nil, nil, sent, err
		}
		switch body := f.GetBody().(type) {
		case *messenger.Frame_Alive:
			sent = sent || body.Alive.GetSent()
		case *messenger.Frame_Chunk:
			g.chunk(body.Chunk)
		case *messenger.Frame_End:
			return body.End, nil, sent, nil
		case *messenger.Frame_Fault:
			return nil, body.Fault, sent, nil
		}
	}
}

// chunk passes on one part. Parts out of place are dropped.
func (g *generation) chunk(chunk *messenger.Chunk) {
	position := g.base + chunk.GetPosition()
	if position != g.assembler.Parts() {
		g.coordinator.config.Counters.Dropped.Add("position", 1)
		return
	}
	g.assembler.Add(chunk.GetData())
	if g.req.GetStream() {
		g.emit(messenger.ChunkFrame(position, chunk.GetData()))
	}
}

// faulted decides whether a failed attempt is followed by another.
func (g *generation) faulted(u descriptor.Upstream, fault *messenger.Fault, cost int64, attempt string) (done bool, err error) {
	c := g.coordinator
	refusal := fault.Refusal()
	spent := cost
	if !fault.GetSent() {
		spent = 0
	}
	g.program.settle(cost, spent)
	g.excluded[u.ID] = true
	if l := fault.GetLoad(); l != nil {
		c.loads.observe([]*messenger.Load{l})
	}
	if fault.GetCrashed() {
		c.config.Isolator.Died(g.print, attempt, fault.GetAlone())
		c.submit(&recorder.Record{Optional: true, Body: &recorder.Record_Poison{
			Poison: &recorder.Poison{
				Fingerprint: string(g.print), Upstream: u.ID, Alone: fault.GetAlone(), Attempt: attempt,
			},
		}})
	}
	if !refusal.Reason.Transient() {
		return true, refusal
	}
	if refusal.Reason == refuser.Queue && len(g.excluded) >= 2 {
		return true, refusal
	}
	if err := g.restart(); err != nil {
		return true, err
	}
	return false, refusal
}

// restart prepares the next attempt. Parts that a caller may have seen are
// continued; others are dropped and the answer begins anew.
func (g *generation) restart() error {
	if g.assembler.Parts() == 0 {
		return nil
	}
	if !g.req.GetStream() {
		g.assembler = assembler.Assembler{}
		g.base = 0
		return nil
	}
	text, only := g.assembler.Text()
	if !only {
		return refuser.New(refuser.Unfinished, "the upstream failed within a tool call").WithRun(descriptor.RunYes)
	}
	body, err := continued(g.req.GetBody(), text)
	if err != nil {
		return refuser.New(refuser.Malformed, "%w", err)
	}
	g.body = body
	g.base = g.assembler.Parts()
	return nil
}

// finish seals the token of the ended call and emits the last frame.
func (g *generation) finish(end *messenger.End) error {
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
	token, err := c.config.Signer.Seal(g.program.token(g.number(), digest[:], g.req.GetMessages()+1, c.config.Clock()))
	if err != nil {
		return refuser.New(refuser.Internal, "%w", err).WithRun(descriptor.RunYes)
	}
	end.Token = token
	end.Call = g.job.call
	if !g.req.GetStream() {
		end.Completion, err = g.assembler.Completion()
		if err != nil {
			return refuser.New(refuser.Internal, "%w", err).WithRun(descriptor.RunYes)
		}
	}
	if g.previous == nil {
		c.complete(g.program, c.config.Clock())
	}
	g.emit(messenger.EndFrame(end))
	return nil
}

// attemptID names one attempt, so that answers of different attempts can't be
// taken for each other.
func attemptID(call string, try int) string {
	return call + "-" + string(rune('a'+try))
}

// prepare sets the fields of a request that the system decides.
func prepare(body []byte, tokens int64) ([]byte, error) {
	body, err := sjson.SetBytes(body, "max_tokens", tokens)
	if err != nil {
		return nil, err
	}
	if body, err = sjson.SetBytes(body, "stream", true); err != nil {
		return nil, err
	}
	return sjson.SetBytes(body, "stream_options.include_usage", true)
}

// continued returns a request whose answer goes on from the text so far.
func continued(body []byte, text string) ([]byte, error) {
	body, err := sjson.SetBytes(body, "messages.-1", map[string]string{"role": "assistant", "content": text})
	if err != nil {
		return nil, err
	}
	return sjson.SetBytes(body, "continue_final_message", true)
}
