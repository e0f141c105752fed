package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/tidwall/gjson"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// resumes is the number of new connections tried for one broken stream.
	resumes = 3
	// resumePause is the time between them.
	resumePause = 50 * time.Millisecond
	// cancelBudget bounds the order to an engine to stop a call.
	cancelBudget = time.Second
	// urgentPriority and ordinaryPriority are the priorities given to engines.
	urgentPriority   = 0
	ordinaryPriority = 10
)

// attempt is one call that has its slot.
type attempt struct {
	dispatcher *Dispatcher
	lane       *lane
	req        *messenger.DispatchRequest
	emit       func(*messenger.Frame) error
	began      time.Time
	position   int64
	// alone says that the call began as the one suspect on its upstream.
	alone bool
	// sent says that the upstream may have been given the call.
	sent bool
	// answered says that the upstream began to answer.
	answered bool
	usage    messenger.End
}

func (a *attempt) run(ctx context.Context) error {
	if err := a.emit(messenger.AliveFrame(true)); err != nil {
		return refuser.New(refuser.Cancelled, "the asking host is gone: %w", err)
	}
	if a.req.GetService() != "" {
		return a.serve(ctx)
	}
	return a.stream(ctx)
}

// serve runs a call of a plain service. One that may not be repeated is not
// cut when the asking host goes away.
func (a *attempt) serve(ctx context.Context) error {
	if a.req.GetOnce() {
		ctx = context.WithoutCancel(ctx)
	}
	u := a.lane.current()
	reply, err := a.dispatcher.config.Service.Do(ctx, u, connector.ServiceRequest{
		Call:  a.req.GetCall(),
		Key:   a.req.GetKey(),
		Fence: a.req.GetFence(),
		Path:  a.req.GetPath(),
		Type:  a.req.GetType(),
		Body:  a.req.GetBody(),
	})
	if err != nil {
		return a.fail(err, false)
	}
	a.succeed()
	return a.emit(messenger.ReplyFrame(&messenger.Reply{
		Status: int32(reply.Status), Type: reply.Type, Body: reply.Body, Call: a.req.GetCall(),
	}))
}

// stream runs a model call. A broken stream is resumed from its position on a
// new connection before the upstream is blamed.
func (a *attempt) stream(ctx context.Context) error {
	a.position = a.req.GetFrom()
	a.sent = a.req.GetResume()
	parts, err := a.open(ctx)
	a.sent = a.sent || !unsent(err)
	for tries := 0; ; tries++ {
		if err == nil {
			a.answered = true
			err = a.relay(parts)
			_ = parts.Close()
		}
		if err == nil {
			a.succeed()
			return a.emit(messenger.EndFrame(a.end()))
		}
		if ctx.Err() != nil || errors.Is(err, errAsker) {
			a.cancel(ctx)
			return refuser.New(refuser.Cancelled, "cancelled while it ran").WithRun(descriptor.RunYes)
		}
		if tries == resumes || final(err) {
			return a.fail(err, crashed(err))
		}
		a.dispatcher.config.Counters.Retried(retryReason(err))
		waiter.Sleep(ctx, resumePause)
		parts, err = a.reconnect(ctx, err)
	}
}

// reconnect opens a new connection after a failure. Where the connection went
// silent before the engine had answered, the request may not have got there:
// an engine that does not know it is sent it again.
func (a *attempt) reconnect(ctx context.Context, cause error) (connector.Parts, error) {
	parts, err := a.resume(ctx)
	var silent *connector.SilentError
	var gone *connector.GoneError
	if errors.As(cause, &silent) && errors.As(err, &gone) && !a.answered {
		return a.start(ctx)
	}
	return parts, err
}

func (a *attempt) open(ctx context.Context) (connector.Parts, error) {
	if a.req.GetResume() {
		parts, err := a.resume(ctx)
		var gone *connector.GoneError
		if !errors.As(err, &gone) {
			return parts, err
		}
		if a.position > 0 {
			return nil, err
		}
	}
	return a.start(ctx)
}

func (a *attempt) start(ctx context.Context) (connector.Parts, error) {
	priority := ordinaryPriority
	if a.req.GetRank() == descriptor.Urgent.String() {
		priority = urgentPriority
	}
	return a.dispatcher.config.Engine.Start(ctx, a.lane.current(), connector.ModelRequest{
		Call: a.req.GetCall(), Program: a.req.GetProgram(), Body: a.req.GetBody(), Priority: priority,
	})
}

func (a *attempt) resume(ctx context.Context) (connector.Parts, error) {
	return a.dispatcher.config.Engine.Resume(ctx, a.lane.current(), a.req.GetCall(), a.position)
}

// relay passes parts on until the answer is whole.
func (a *attempt) relay(parts connector.Parts) error {
	for {
		p, err := parts.Next()
		if err != nil {
			return err
		}
		if p.Done {
			return nil
		}
		if p.Position != a.position {
			a.dispatcher.config.Counters.Dropped.Add("position", 1)
			continue
		}
		a.position++
		a.note(p.Data)
		if err := a.emit(messenger.ChunkFrame(p.Position, p.Data)); err != nil {
			return errAsker
		}
	}
}

// note keeps the usage that the engine reports with its last part.
func (a *attempt) note(data []byte) {
	usage := gjson.GetBytes(data, "usage")
	if !usage.IsObject() {
		return
	}
	a.usage.PromptTokens = usage.Get("prompt_tokens").Int()
	a.usage.CompletionTokens = usage.Get("completion_tokens").Int()
	a.usage.CachedTokens = usage.Get("prompt_tokens_details.cached_tokens").Int()
}

func (a *attempt) end() *messenger.End {
	return &messenger.End{
		Call:             a.req.GetCall(),
		Upstream:         a.req.GetUpstream(),
		PromptTokens:     a.usage.GetPromptTokens(),
		CompletionTokens: a.usage.GetCompletionTokens(),
		CachedTokens:     a.usage.GetCachedTokens(),
		Load:             a.lane.load(),
	}
}

func (a *attempt) succeed() { a.lane.succeeded(a.dispatcher.config.Clock().Sub(a.began)) }

// fail ends the attempt with a fault that says what is known.
func (a *attempt) fail(err error, died bool) error {
	a.lane.failed(a.dispatcher.config.Clock())
	a.dispatcher.config.Logger.Debug().Err(err).Str("upstream", a.req.GetUpstream()).Msg("attempt failed")
	sent := a.sent || !unsent(err)
	run := descriptor.RunNo
	if sent {
		run = descriptor.RunUnknown
	}
	fault := messenger.NewFault(refuser.New(refuser.Upstream, "%w", err).WithRun(run))
	fault.Sent = sent
	fault.Crashed = died && sent
	fault.Alone = a.alone && a.dispatcher.config.Settled()
	fault.Load = a.lane.load()
	return a.emit(&messenger.Frame{Body: &messenger.Frame_Fault{Fault: fault}})
}

// cancel tells the engine to stop the call. The slot is given back afterwards.
func (a *attempt) cancel(ctx context.Context) {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), cancelBudget)
	defer done()
	if err := a.dispatcher.config.Engine.Cancel(ctx, a.lane.current(), a.req.GetCall()); err != nil {
		a.dispatcher.config.Logger.Debug().Err(err).Str("call", a.req.GetCall()).Msg("cancel failed")
	}
}

// askerError says that the asking host no longer reads.
type askerError struct{}

func (*askerError) Error() string { return "the asking host is gone" }

var errAsker = &askerError{}

// unsent reports whether the upstream was provably not given the call.
func unsent(err error) bool {
	var u *connector.UnsentError
	return errors.As(err, &u)
}

// final reports whether a new connection can't help.
func final(err error) bool {
	var gone *connector.GoneError
	var status *connector.StatusError
	return errors.As(err, &gone) || errors.As(err, &status) || unsent(err)
}

// crashed reports whether the upstream lost the call that it ran: it came back
// without it, or takes no connections any more.
func crashed(err error) bool {
	var gone *connector.GoneError
	return errors.As(err, &gone) || unsent(err)
}

func retryReason(err error) counter.Retry {
	var silent *connector.SilentError
	if errors.As(err, &silent) {
		return counter.RetrySilent
	}
	return counter.RetryResume
}
