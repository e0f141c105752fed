package forwarder

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
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
	// minRecordPause and maxRecordPause bound the time between two rounds of attempts to
	// record a turn that no shard takes. The time doubles with each round: a round sends
	// the text of the turn and of the earlier turns several times.
	minRecordPause = 50 * time.Millisecond
	maxRecordPause = 500 * time.Millisecond
	// patientTimeout is the time limit of an attempt that waits for the partition of the
	// turn's own shard. Fallback shards may be available again by then.
	patientTimeout = 500 * time.Millisecond
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
}

// OutputTooLongError reports a turn that generates more text than is kept of a turn.
type OutputTooLongError struct{}

// Error implements the error interface.
func (*OutputTooLongError) Error() string {
	return fmt.Sprintf("turn generates more than %d bytes", maxOutputBytes)
}

// beginTurn reserves budget for a turn at the program's home and prepends the text of
// the turns that it continues to the request's body. It returns the outcome of the
// request if the turn must not run, and nil otherwise.
func (e *exchange) beginTurn(ctx context.Context, t *turn) Outcome {
	resumes := e.resumesStream()
	if e.request.Program == "" && !t.kind.Retain && !resumes {
		return nil
	}
	if o := e.unresumable(t.kind); resumes && o != nil {
		return o
	}
	chain, cached := e.chains.Get(e.request.Previous)
	continues := t.kind.Retain && e.request.Previous != ""
	beginRequest := &messenger.BeginRequest{
		Shard:     int32(keeper.Shard(e.programID(), e.config.Shards)),
		Program:   e.programID(),
		Session:   e.request.Session,
		Turn:      e.request.ID,
		Budget:    e.request.Budget,
		Most:      e.request.MaxTokens,
		Cached:    cached,
		Retain:    t.kind.Retain,
		Left:      e.remaining(time.Now()).Milliseconds(),
		Retention: t.kind.Retention.Milliseconds(),
	}
	if continues {
		beginRequest.Previous = e.request.Previous
	}
	if resumes {
		beginRequest.Resumes = e.request.Resumes
	}
	start := time.Now()
	reply, err := e.config.Homes.Begin(ctx, beginRequest)
	e.config.Counters.Measured(counter.MeasureBegin, time.Since(start))
	if err != nil {
		if o := e.contextOutcome(ctx); o != nil {
			return o
		}
		return refused(refuser.New(refuser.Home, "the program's home is not reached: %w", err).WithRetry(retryAfterHomeFailure))
	}
	if o := beginRefusal(reply, e.request); o != nil {
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
	if !continues {
		return nil
	}
	if !cached {
		chain = reply.GetChain()
		e.cacheChain(e.request.Previous, chain)
	}
	body := make([]byte, 0, len(chain)+len(t.input))
	e.request = e.request.WithBody(append(append(body, chain...), t.input...))
	return nil
}

// programID returns the id of the program that determines the shard and the home of
// the turn. A turn that names no program counts as a program of its own, whose id is
// the id of the request. The turn is recorded in the shard of this id, where a later
// turn that continues it finds the record. A request that resumes a stream belongs to the
// program of the attempt that began the stream.
func (e *exchange) programID() string {
	switch {
	case e.request.Program != "":
		return e.request.Program
	case e.request.LastEvent != "" && e.request.Resumes != "":
		return e.request.Resumes
	default:
		return e.request.ID
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
		Turn:      e.request.ID,
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

// NotRecordedError reports that no shard has recorded a turn before the caller's time was
// over. Cause is the error of the last attempt at the turn's own shard, or the error of the
// context if that attempt ended without one.
type NotRecordedError struct{ Cause error }

// Error implements the error interface.
func (e *NotRecordedError) Error() string {
	return "no shard has recorded the turn: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotRecordedError) Unwrap() error { return e.Cause }

// recordTurn settles and records a turn whose response is complete. It returns once
// the record is in the store.
func (e *exchange) recordTurn(ctx context.Context, t *turn) error {
	r := e.endRequest(t)
	r.Retain = true
	r.Previous = e.request.Previous
	r.Input = t.input
	r.Output = t.output
	r.Retention = t.kind.Retention.Milliseconds()
	r.Cached = r.GetPrevious() != ""
	recorded, err := e.recordInOwnShard(ctx, t, r)
	if !recorded {
		err = e.recordAnywhere(ctx, t, r, err)
	}
	if err != nil {
		return err
	}
	body := e.request.Body
	chain := make([]byte, 0, len(body)+len(t.output))
	e.cacheChain(e.request.ID, append(append(chain, body...), t.output...))
	return nil
}

// recordInOwnShard sends a request that records a turn to the home of the turn's own shard.
// If the home needs the text of the earlier turns, recordInOwnShard adds this text to the
// request and sends the request again. It returns true if the home has recorded the turn.
// After an error, the home may have recorded the turn.
func (e *exchange) recordInOwnShard(ctx context.Context, t *turn, r *messenger.EndRequest) (bool, error) {
	reply, err := e.config.Homes.End(ctx, r)
	if err == nil && reply.GetNeedsChain() {
		r.Chain = e.previousChain(t)
		reply, err = e.config.Homes.End(ctx, r)
	}
	if err != nil {
		return false, err
	}
	return reply.GetRecorded(), nil
}

// previousChain returns the text of the turns that the turn continues.
func (e *exchange) previousChain(t *turn) []byte {
	body := e.request.Body
	return body[:len(body)-len(t.input)]
}

// recordAnywhere records a turn whose own shard has not recorded it: the shard's partition
// is unavailable, or the attempt has failed with err. home is the request to that shard. If
// no fallback shard takes the record, home is sent again, and the turn's own shard then
// waits for its partition for up to patientTimeout. If that fails too, all is tried again
// until ctx ends: the shard's home may be moving, and a fallback shard may come back. A turn
// that is recorded twice is one turn. The error is a *NotRecordedError.
func (e *exchange) recordAnywhere(ctx context.Context, t *turn, home *messenger.EndRequest, err error) error {
	patient := proto.CloneOf(home)
	patient.Patient = true
	for pause := minRecordPause; ctx.Err() == nil; pause = min(2*pause, maxRecordPause) {
		if e.recordInFallbackShard(ctx, t, home) {
			return nil
		}
		began := time.Now()
		var recorded bool
		recorded, err = e.waitForOwnShard(ctx, t, patient)
		if recorded {
			return nil
		}
		e.config.Logger.Info().Err(err).Str("id", home.GetTurn()).Int32("own", home.GetShard()).Msg("no shard has recorded the turn, trying again")
		waiter.Sleep(ctx, pause-time.Since(began))
	}
	if err == nil {
		err = ctx.Err()
	}
	return &NotRecordedError{Cause: err}
}

// waitForOwnShard does what recordInOwnShard does, within patientTimeout.
func (e *exchange) waitForOwnShard(ctx context.Context, t *turn, patient *messenger.EndRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, patientTimeout)
	defer cancel()
	return e.recordInOwnShard(ctx, t, patient)
}

// recordInFallbackShard records a turn in another shard than its own. Later turns find
// the record there because a turn is looked up in all shards. The fallback shards are
// tried one after the other. It returns false if none of them took the record.
func (e *exchange) recordInFallbackShard(ctx context.Context, t *turn, home *messenger.EndRequest) bool {
	chain := e.previousChain(t)
	for _, shard := range keeper.FallbackShards(int(home.GetShard()), e.config.Shards) {
		r := proto.CloneOf(home)
		r.Shard, r.Aside, r.Chain = int32(shard), true, chain
		reply, err := e.config.Homes.End(ctx, r)
		e.config.Logger.Info().Err(err).Str("id", e.request.ID).Str("program", r.GetProgram()).Int32("own", home.GetShard()).
			Int("shard", shard).Bool("recorded", reply.GetRecorded()).Msg("tried to record turn in fallback shard")
		if err == nil && reply.GetRecorded() {
			e.config.Counters.Retried(counter.RetryFallbackShard)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}
