package coordinator

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
)

// relay sends an attempt to the upstream's home and sends the answer to the caller.
// If the stream from the home is interrupted, relay marks that host as suspected
// and sends the request again, to the host that is now the upstream's home. If the
// upstream has already been given the call, the new request asks to resume the call.
// If the host refuses because another host is the upstream's home, relay sends the
// request again after homeRefusalPause. If that home then can't be reached, relay
// returns a refusal, because waiting at the refusing host again would not help.
// Exactly one of the three results is not nil.
func (g *generation) relay(ctx context.Context, u descriptor.Upstream, cost int64, try int) (*messenger.End, *messenger.Fault, error) {
	c := g.coordinator
	body, err := withSystemFields(g.body, cost)
	if err != nil {
		return nil, nil, refuser.New(refuser.Malformed, "%w", err)
	}
	req := g.dispatchRequest(u, body, cost, try)
	homeRefused := false
	for reconnects := 0; ; reconnects++ {
		home, ok := c.config.View().UpstreamHome(u, c.config.Clock())
		if !ok {
			return nil, nil, refuser.New(refuser.Home, "no host is home of upstream %s", u.ID).WithRetry(time.Second)
		}
		c.loads.countAttempt(u.ID)
		end, fault, sent, err := g.streamAttempt(ctx, home, req)
		if err == nil && fault.GetReason() == string(refuser.Home) && reconnects < maxReconnects {
			homeRefused = true
			waiter.Sleep(ctx, homeRefusalPause)
			continue
		}
		if err == nil {
			return end, withEarlierSend(fault, req), nil
		}
		if ctx.Err() != nil {
			return nil, nil, refuser.New(refuser.Cancelled, "cancelled").WithRun(descriptor.RunUnknown)
		}
		if reconnects == maxReconnects || (homeRefused && !sent) {
			return nil, nil, refuser.New(refuser.Home, "%w", err).WithRun(descriptor.RunUnknown)
		}
		c.config.Suspect(home)
		c.config.Counters.Retried(counter.RetryHome)
		if err := c.confirmHolder(ctx, g.program); err != nil {
			return nil, nil, err
		}
		req.Resume = req.GetResume() || sent
		req.From = g.assembler.Chunks() - g.basePosition
	}
}

// withEarlierSend marks a fault as sent if an earlier host had given the upstream the
// call that req resumes.
func withEarlierSend(fault *messenger.Fault, req *messenger.DispatchRequest) *messenger.Fault {
	if fault != nil && req.GetResume() {
		fault.Sent = true
	}
	return fault
}

// dispatchRequest returns the request that starts an attempt from its beginning.
func (g *generation) dispatchRequest(u descriptor.Upstream, body []byte, cost int64, try int) *messenger.DispatchRequest {
	_, served := g.program.upstreamAndServed()
	return &messenger.DispatchRequest{
		Upstream:     u.ID,
		Call:         attemptID(g.job.callID, try),
		Organisation: g.req.GetOrganisation(),
		Program:      g.program.id,
		Rank:         g.rankName(),
		Model:        g.req.GetModel(),
		Body:         body,
		MaxTokens:    cost,
		Served:       served,
		Begun:        g.previous.GetNumber() > 0,
		Prompt:       g.req.GetPrompt(),
		Alone:        g.suspect,
	}
}

// streamAttempt opens one stream to the upstream's home and reads it to its last
// frame. The result sent is true if the home reported that the upstream has been
// given the call. The result is valid even if the stream ends with an error.
func (g *generation) streamAttempt(ctx context.Context, home descriptor.Host, req *messenger.DispatchRequest) (end *messenger.End, fault *messenger.Fault, sent bool, err error) {
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
			g.handleChunk(body.Chunk)
		case *messenger.Frame_End:
			return body.End, nil, sent, nil
		case *messenger.Frame_Fault:
			return nil, body.Fault, sent, nil
		}
	}
}

// handleChunk adds one chunk to the answer and, in a streamed call, sends the chunk
// to the caller. A chunk that does not directly follow the previous chunk is
// dropped.
func (g *generation) handleChunk(chunk *messenger.Chunk) {
	position := g.basePosition + chunk.GetPosition()
	if position != g.assembler.Chunks() {
		g.coordinator.config.Counters.Dropped.Add("position", 1)
		return
	}
	g.assembler.Add(chunk.GetData())
	if g.req.GetStream() {
		g.emit(messenger.ChunkFrame(position, chunk.GetData()))
	}
}

// handleFault settles the cost of a failed attempt and excludes its upstream from
// further attempts. If the upstream crashed, handleFault records the crash locally
// and in the log. It returns true if no further attempt may follow.
func (g *generation) handleFault(u descriptor.Upstream, fault *messenger.Fault, cost int64, attempt string) (done bool, err error) {
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
		c.config.Isolator.RecordCrash(g.fingerprint, attempt, fault.GetAlone())
		c.submitRecord(&recorder.Record{Optional: true, Body: &recorder.Record_Poison{
			Poison: &recorder.Poison{
				Fingerprint: string(g.fingerprint), Upstream: u.ID, Alone: fault.GetAlone(), Attempt: attempt,
			},
		}})
	}
	if !refusal.Reason.Transient() {
		return true, refusal
	}
	if refusal.Reason == refuser.Queue && len(g.excluded) >= 2 {
		return true, refusal
	}
	if err := g.prepareNextAttempt(); err != nil {
		return true, err
	}
	return false, refusal
}
