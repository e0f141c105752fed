package forwarder

import (
	"context"
	"fmt"
	"time"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// retryAfterHomeFailure is the delay after which a caller should retry when the
	// home of its program does not respond. Another host has taken over the
	// shard by then.
	retryAfterHomeFailure = 300 * time.Millisecond
	// retryAfterStoreFailure is the delay after which a caller should retry when
	// the home can't read the store.
	retryAfterStoreFailure = time.Second
	// settleTimeout limits the time for settling the budget of an ended turn.
	settleTimeout = 5 * time.Second
	// maxOutputBytes is the maximum size in bytes of the text that a turn generates and
	// that is kept until it is recorded.
	maxOutputBytes = 8 << 20
)

// turn is the part of a streamed request's state that concerns the program: the
// budget that is reserved for the turn, and the text of the turn that is recorded.
type turn struct {
	kind descriptor.Stream
	// input is the body that the caller sent, without the turns before it.
	input []byte
	// reserved is true if the home has reserved budget for the turn.
	reserved bool
	// output is the data of the events that were received so far, each followed by a
	// line feed.
	output []byte
	// memory is that of the earlier turns which the request to the upstream contains; nil if it
	// contains none.
	memory *allocator.Grant
	// left is the time that a large turn had when it was admitted.
	left time.Duration
	// place is that among the large turns which are kept; nil if the turn is not large.
	place *allocator.Addition
	// mayBeRecorded is set once a home was asked to record the turn.
	mayBeRecorded bool
}

// OutputTooLongError reports a turn that generates more text than is kept of a turn.
type OutputTooLongError struct{}

// Error implements the error interface.
func (*OutputTooLongError) Error() string {
	return fmt.Sprintf("turn generates more than %d bytes", maxOutputBytes)
}

// beginTurn reserves budget for a turn at the program's home, and takes over what the home
// knows of the program. It returns the outcome of the request if the turn must not run,
// and nil otherwise.
func (e *exchange) beginTurn(ctx context.Context, t *turn) Outcome {
	resumes := e.resumesStream()
	if resumes {
		if o := e.unresumable(t.kind); o != nil {
			return o
		}
	}
	if e.request.Program == "" && !t.kind.Retain && !resumes {
		return nil
	}
	if o := e.admitLarge(t, time.Now()); o != nil {
		return o
	}
	chain, cached := e.chains.Get(e.scoped(e.request.Previous))
	reply, o := e.reserveTurn(ctx, e.beginRequest(t, cached))
	if o != nil {
		return o
	}
	t.reserved = true
	e.sessionUpstream, e.programUpstream = reply.GetUpstream(), reply.GetProgramUpstream()
	e.config.Counters.Reached(counter.StageGranted)
	if resumes {
		if o := e.keepBuild(reply.GetBuild()); o != nil {
			e.settleInBackground(t)
			return o
		}
	}
	if !e.continuesTurn(t) {
		return nil
	}
	if !cached {
		chain = reply.GetChain()
		e.cacheChain(e.scoped(e.request.Previous), chain)
	}
	if o := e.reserveChain(t, len(chain)+len(t.input)); o != nil {
		e.settleInBackground(t)
		return o
	}
	e.prependChain(t, chain)
	return nil
}

// continuesTurn reports whether the turn continues an earlier turn whose text the system
// keeps.
func (e *exchange) continuesTurn(t *turn) bool { return t.kind.Retain && e.request.Previous != "" }

// beginRequest returns the message that reserves budget for a turn. cached is true if this
// host has the chain of the previous turn.
func (e *exchange) beginRequest(t *turn, cached bool) *messenger.BeginRequest {
	r := &messenger.BeginRequest{
		Shard:     int32(keeper.Shard(e.programID(), e.config.Shards)),
		Program:   e.programID(),
		Session:   e.request.Session,
		Turn:      e.scoped(e.request.ID),
		Budget:    e.request.Budget,
		Most:      e.request.MaxTokens,
		Cached:    cached,
		Retain:    t.kind.Retain,
		Left:      e.remaining(time.Now()).Milliseconds(),
		Retention: t.kind.Retention.Milliseconds(),
	}
	if e.continuesTurn(t) {
		r.Previous = e.scoped(e.request.Previous)
	}
	if e.resumesStream() {
		r.Resumes = e.scoped(e.request.Resumes)
	}
	return r
}

// reserveTurn calls the program's home to reserve budget for a turn. It returns the outcome
// of the request if the home is not reached or refuses.
func (e *exchange) reserveTurn(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, Outcome) {
	start := time.Now()
	reply, err := e.config.Homes.Begin(ctx, r)
	e.config.Counters.Measured(counter.MeasureBegin, time.Since(start))
	if err == nil {
		return reply, beginRefusal(reply, e.request)
	}
	if o := e.contextOutcome(ctx); o != nil {
		return nil, o
	}
	return nil, refused(refuser.New(refuser.Home, "the program's home is not reached: %w", err).WithRetry(retryAfterHomeFailure))
}

// prependChain prepends the text of the earlier turns to the request's body.
func (e *exchange) prependChain(t *turn, chain []byte) {
	body := make([]byte, 0, len(chain)+len(t.input))
	e.request = e.request.WithBody(append(append(body, chain...), t.input...))
}

// programID returns the id of the program that determines the shard and the home of
// the turn. A turn that names no program counts as a program of its own, whose id is
// the id of the request. The turn is recorded in the shard of this id, where a later
// turn that continues it finds the record. A request that resumes a stream belongs to the
// program of the attempt that began the stream.
func (e *exchange) programID() string {
	switch {
	case e.request.Program != "":
		return e.scoped(e.request.Program)
	case e.request.LastEvent != "" && e.request.Resumes != "":
		return e.scoped(e.request.Resumes)
	default:
		return e.scoped(e.request.ID)
	}
}

// beginRefusal returns the outcome of a turn that its home refused, or nil if the
// home has reserved budget for the turn.
func beginRefusal(reply *messenger.BeginReply, r descriptor.Request) Outcome {
	switch reply.GetVerdict() {
	case messenger.BeginReply_RESERVED:
		return nil
	case messenger.BeginReply_EXCEEDED:
		return refused(refuser.New(refuser.Budget, "the budget of %d tokens does not cover a turn of %d", r.Budget, r.MaxTokens))
	case messenger.BeginReply_MISSING:
		return refused(refuser.New(refuser.Turn, "no turn %q is kept", r.Previous))
	case messenger.BeginReply_UNBOUND:
		return refused(refuser.New(refuser.Resume, "the version that began the stream of attempt %q is not known", r.Resumes))
	default:
		return refused(refuser.New(refuser.Log, "the program's home can't use its records: %s", reply.GetDetail()).
			WithRetry(retryAfterStoreFailure))
	}
}

// endRequest returns the message that settles the budget of a turn.
func (e *exchange) endRequest(t *turn) *messenger.EndRequest {
	return &messenger.EndRequest{
		Shard:     int32(keeper.Shard(e.programID(), e.config.Shards)),
		Program:   e.programID(),
		Session:   e.request.Session,
		Turn:      e.scoped(e.request.ID),
		Generated: e.generated,
		Upstream:  e.upstream.ID,
	}
}

// settleInBackground settles the budget of a turn that is not recorded. It does
// nothing if no budget is reserved, and it does not wait for the home.
func (e *exchange) settleInBackground(t *turn) {
	if !t.reserved {
		return
	}
	r := e.endRequest(t)
	go func() {
		ctx, cancel := context.WithTimeout(e.config.Background, settleTimeout)
		defer cancel()
		if _, err := e.config.Homes.End(ctx, r); err != nil {
			e.config.Logger.Info().Err(err).Str("id", r.GetTurn()).Str("program", r.GetProgram()).Msg("budget of turn not settled")
		}
	}()
}
