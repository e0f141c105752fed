package forwarder

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// minRecordPause and maxRecordPause bound the time between two rounds of attempts to
	// record a turn that no shard takes. The time doubles with each round: a round sends
	// the text of the turn and of the earlier turns several times.
	minRecordPause = 50 * time.Millisecond
	maxRecordPause = 500 * time.Millisecond
	// patientTimeout is the time limit of an attempt that waits for the partition of the
	// turn's own shard. Fallback shards may be available again by then.
	patientTimeout = 500 * time.Millisecond
)

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

// isUnrecordable reports whether no home can record a turn.
func isUnrecordable(err error) bool {
	var unrecordable *keeper.UnrecordableError
	return errors.As(err, &unrecordable)
}

// recordTurn settles and records a turn whose response is complete. It returns once
// the record is in the store. The error is a *NotRecordedError, or a *keeper.UnrecordableError at
// once if no home can record the turn.
func (e *exchange) recordTurn(ctx context.Context, t *turn) error {
	t.mayBeRecorded = true
	r := e.endRequest(t)
	r.Retain = true
	r.Previous = e.scoped(e.request.Previous)
	r.Input = t.input
	r.Output = t.output
	r.Retention = t.kind.Retention.Milliseconds()
	r.Cached = r.GetPrevious() != ""
	recorded, err := e.recordInOwnShard(ctx, t, r)
	if !recorded && !isUnrecordable(err) {
		err = e.recordAnywhere(ctx, t, r, err)
	}
	if err != nil {
		return err
	}
	body := e.request.Body
	chain := make([]byte, 0, len(body)+len(t.output))
	e.cacheChain(e.scoped(e.request.ID), append(append(chain, body...), t.output...))
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
// that is recorded twice is one turn. The error is that of recordTurn.
func (e *exchange) recordAnywhere(ctx context.Context, t *turn, home *messenger.EndRequest, err error) error {
	patient := proto.CloneOf(home)
	patient.Patient = true
	for pause := minRecordPause; ctx.Err() == nil; pause = min(2*pause, maxRecordPause) {
		var recorded bool
		if recorded, err = e.recordInFallbackShard(ctx, t, home); recorded || isUnrecordable(err) {
			return err
		}
		began := time.Now()
		if recorded, err = e.waitForOwnShard(ctx, t, patient); recorded || isUnrecordable(err) {
			return err
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
// tried one after the other. It returns false if none of them took the record. The error is that
// of the last one, or a *keeper.UnrecordableError.
func (e *exchange) recordInFallbackShard(ctx context.Context, t *turn, home *messenger.EndRequest) (bool, error) {
	var lastErr error
	chain := e.previousChain(t)
	for _, shard := range keeper.FallbackShards(int(home.GetShard()), e.config.Shards) {
		r := proto.CloneOf(home)
		r.Shard, r.Aside, r.Chain = int32(shard), true, chain
		reply, err := e.config.Homes.End(ctx, r)
		e.config.Logger.Info().Err(err).Str("id", e.request.ID).Str("program", r.GetProgram()).Int32("own", home.GetShard()).
			Int("shard", shard).Bool("recorded", reply.GetRecorded()).Msg("tried to record turn in fallback shard")
		if err == nil && reply.GetRecorded() {
			e.config.Counters.Retried(counter.RetryFallbackShard)
			return true, nil
		}
		if lastErr = err; ctx.Err() != nil || isUnrecordable(err) {
			break
		}
	}
	return false, lastErr
}
