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
	// maxResumes is the number of new connections tried for one interrupted stream.
	maxResumes = 3
	// resumeDelay is the pause before each new connection for an interrupted stream.
	resumeDelay = 50 * time.Millisecond
	// cancelTimeout bounds the request that tells an engine to stop a call.
	cancelTimeout = time.Second
	// urgentPriority and ordinaryPriority are the priorities sent to an engine
	// with a call of the respective rank; engines run lower values first.
	urgentPriority   = 0
	ordinaryPriority = 10
)

// attempt is one execution of a call on an upstream. It exists only while the
// call holds one of the upstream's slots.
type attempt struct {
	dispatcher *Dispatcher
	queue      *upstreamQueue
	req        *messenger.DispatchRequest
	// emit sends a frame to the requesting host, that is, the host that asked this
	// host to run the call.
	emit func(*messenger.Frame) error
	// started is when the call was granted its slot.
	started time.Time
	// position is the position of the next chunk to send to the requesting host.
	position int64
	// isolated is true if the request is suspected of crashing upstreams, this host
	// was the only home of the upstream, and no other suspected request was running
	// on the upstream when the attempt started.
	// If the upstream crashes, this request is then the likely cause.
	isolated bool
	// sent is true if the upstream may have received the call.
	sent bool
	// answered is true if the upstream has opened a response stream.
	answered bool
	// usage holds the token counts that the engine has reported.
	usage messenger.End
}

// run executes the call and emits the frames of its response.
func (a *attempt) run(ctx context.Context) error {
	if err := a.emit(messenger.AliveFrame(true)); err != nil {
		return refuser.New(refuser.Cancelled, "the asking host is gone: %w", err)
	}
	if a.req.GetService() != "" {
		return a.runServiceCall(ctx)
	}
	return a.runModelCall(ctx)
}

// runServiceCall runs a call of a service that is not a model. If the call may run
// only once (Once), it continues even if the requesting host disconnects.
func (a *attempt) runServiceCall(ctx context.Context) error {
	if a.req.GetOnce() {
		ctx = context.WithoutCancel(ctx)
	}
	u := a.queue.currentUpstream()
	reply, err := a.dispatcher.config.Service.Do(ctx, u, connector.ServiceRequest{
		Call:  a.req.GetCall(),
		Key:   a.req.GetKey(),
		Fence: a.req.GetFence(),
		Path:  a.req.GetPath(),
		Type:  a.req.GetType(),
		Body:  a.req.GetBody(),
	})
	if err != nil {
		return a.emitFault(err, false)
	}
	a.recordSuccess()
	return a.emit(messenger.ReplyFrame(&messenger.Reply{
		Status: int32(reply.Status), Type: reply.Type, Body: reply.Body, Call: a.req.GetCall(),
	}))
}

// runModelCall runs a model call and streams its response. An interrupted stream is
// resumed from the current position on a new connection. The attempt counts as
// a failure of the upstream only after maxResumes retries or a permanent error.
func (a *attempt) runModelCall(ctx context.Context) error {
	a.position = a.req.GetFrom()
	a.sent = a.req.GetResume()
	chunks, err := a.startOrResume(ctx)
	a.sent = a.sent || !unsent(err)
	for tries := 0; ; tries++ {
		if err == nil {
			a.answered = true
			err = a.relay(chunks)
			_ = chunks.Close()
		}
		if err == nil {
			a.recordSuccess()
			return a.emit(messenger.EndFrame(a.end()))
		}
		if ctx.Err() != nil || errors.Is(err, errRequesterGone) {
			a.cancel(ctx)
			return refuser.New(refuser.Cancelled, "cancelled while it ran").WithRun(descriptor.RunYes)
		}
		if tries == maxResumes || permanent(err) {
			return a.emitFault(err, lostCall(err))
		}
		a.dispatcher.config.Counters.Retried(retryReason(err))
		waiter.Sleep(ctx, resumeDelay)
		chunks, err = a.reconnect(ctx, err)
	}
}

// reconnect resumes the call on a new connection after a failure. If the old
// connection made no progress before the engine answered, the request may never
// have arrived. If the engine then does not know the call, reconnect starts the
// call again.
func (a *attempt) reconnect(ctx context.Context, cause error) (connector.Chunks, error) {
	chunks, err := a.resume(ctx)
	var noProgress *connector.ProgressTimeoutError
	var unknown *connector.UnknownCallError
	if errors.As(cause, &noProgress) && errors.As(err, &unknown) && !a.answered {
		return a.start(ctx)
	}
	return chunks, err
}

// startOrResume opens the first connection of the attempt. If the request asks to
// resume, it first tries to resume the call, which the upstream may already be
// running. If the upstream does not know the call, startOrResume starts the call
// again, unless the requesting host already has chunks of the answer. If the request
// does not ask to resume, startOrResume starts the call.
func (a *attempt) startOrResume(ctx context.Context) (connector.Chunks, error) {
	if a.req.GetResume() {
		chunks, err := a.resume(ctx)
		var unknown *connector.UnknownCallError
		if !errors.As(err, &unknown) {
			return chunks, err
		}
		if a.position > 0 {
			return nil, err
		}
	}
	return a.start(ctx)
}

// start sends the call to the engine as a new request.
func (a *attempt) start(ctx context.Context) (connector.Chunks, error) {
	priority := ordinaryPriority
	if a.req.GetRank() == descriptor.Urgent.String() {
		priority = urgentPriority
	}
	return a.dispatcher.config.Engine.Start(ctx, a.queue.currentUpstream(), connector.ModelRequest{
		Call: a.req.GetCall(), Program: a.req.GetProgram(), Body: a.req.GetBody(), Priority: priority,
	})
}

// resume connects to a call that the engine is already running, and reads the
// chunks from the attempt's position onwards.
func (a *attempt) resume(ctx context.Context) (connector.Chunks, error) {
	return a.dispatcher.config.Engine.Resume(ctx, a.queue.currentUpstream(), a.req.GetCall(), a.position)
}

// relay sends chunks to the requesting host until the answer is complete. A chunk
// at any position other than the expected position is dropped.
func (a *attempt) relay(chunks connector.Chunks) error {
	for {
		chunk, err := chunks.Next()
		if err != nil {
			return err
		}
		if chunk.Done {
			return nil
		}
		if chunk.Position != a.position {
			a.dispatcher.config.Counters.Dropped.Add("position", 1)
			continue
		}
		a.position++
		a.recordUsage(chunk.Data)
		if err := a.emit(messenger.ChunkFrame(chunk.Position, chunk.Data)); err != nil {
			return errRequesterGone
		}
	}
}

// recordUsage stores the token counts of a chunk that has a usage object. Engines
// add a usage object to the last chunk.
func (a *attempt) recordUsage(data []byte) {
	usage := gjson.GetBytes(data, "usage")
	if !usage.IsObject() {
		return
	}
	a.usage.PromptTokens = usage.Get("prompt_tokens").Int()
	a.usage.CompletionTokens = usage.Get("completion_tokens").Int()
	a.usage.CachedTokens = usage.Get("prompt_tokens_details.cached_tokens").Int()
}

// end returns the final frame of a model call that succeeded.
func (a *attempt) end() *messenger.End {
	return &messenger.End{
		Call:             a.req.GetCall(),
		Upstream:         a.req.GetUpstream(),
		PromptTokens:     a.usage.GetPromptTokens(),
		CompletionTokens: a.usage.GetCompletionTokens(),
		CachedTokens:     a.usage.GetCachedTokens(),
		Load:             a.queue.load(),
	}
}

// recordSuccess updates the upstream's circuit breaker and service time.
func (a *attempt) recordSuccess() { a.queue.observeSuccess(a.dispatcher.config.Clock().Sub(a.started)) }

// emitFault ends the attempt with a Fault frame. The frame reports whether the
// upstream may have received the call and, if crashed is set, that the upstream
// lost the call while running it.
func (a *attempt) emitFault(err error, crashed bool) error {
	a.queue.observeFailure(a.dispatcher.config.Clock())
	a.dispatcher.config.Logger.Debug().Err(err).Str("upstream", a.req.GetUpstream()).Msg("attempt failed")
	sent := a.sent || !unsent(err)
	run := descriptor.RunNo
	if sent {
		run = descriptor.RunUnknown
	}
	fault := messenger.NewFault(refuser.New(refuser.Upstream, "%w", err).WithRun(run))
	fault.Sent = sent
	fault.Crashed = crashed && sent
	// If the home has changed since the attempt started, a second home may have run
	// another suspected request on the upstream at the same time.
	fault.Alone = a.isolated && a.dispatcher.isSoleHome(a.queue.currentUpstream())
	fault.Load = a.queue.load()
	return a.emit(&messenger.Frame{Body: &messenger.Frame_Fault{Fault: fault}})
}

// cancel tells the engine to stop the call. The caller of run releases the slot
// only after cancel returns.
func (a *attempt) cancel(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := a.dispatcher.config.Engine.Cancel(ctx, a.queue.currentUpstream(), a.req.GetCall()); err != nil {
		a.dispatcher.config.Logger.Debug().Err(err).Str("call", a.req.GetCall()).Msg("call not cancelled at upstream")
	}
}

// requesterGoneError reports that the host that requested the call no longer reads
// the call's frames.
type requesterGoneError struct{}

func (*requesterGoneError) Error() string { return "the asking host is gone" }

var errRequesterGone = &requesterGoneError{}

// unsent reports whether the upstream certainly did not receive the call.
func unsent(err error) bool {
	var u *connector.UnsentError
	return errors.As(err, &u)
}

// permanent reports whether an error would also occur on a new connection.
func permanent(err error) bool {
	var unknown *connector.UnknownCallError
	var status *connector.StatusError
	return errors.As(err, &unknown) || errors.As(err, &status) || unsent(err)
}

// lostCall reports whether the upstream lost a call that it was running: the
// upstream no longer knows the call, or refuses connections.
func lostCall(err error) bool {
	var unknown *connector.UnknownCallError
	return errors.As(err, &unknown) || unsent(err)
}

// retryReason returns the metrics label for a retry after err.
func retryReason(err error) counter.Retry {
	var noProgress *connector.ProgressTimeoutError
	if errors.As(err, &noProgress) {
		return counter.RetrySilent
	}
	return counter.RetryResume
}
