package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// maxStoreWait is the longest time that a turn waits for an unreachable store.
	// In a short outage, waiting costs the caller less than a retry.
	maxStoreWait = 1200 * time.Millisecond
	// storePollInterval is the time between two checks whether the store is reachable.
	storePollInterval = 25 * time.Millisecond
	// maxRecordWait is the longest time that a turn waits until the reservations of
	// earlier turns are recorded.
	maxRecordWait = 1200 * time.Millisecond
	// minRecordWait is how long a turn waits for earlier reservations to be
	// recorded even if the turn has little time left. One append takes somewhat
	// less.
	minRecordWait = 50 * time.Millisecond
	// waitDivisor limits a wait to a third of the time that a turn has left. The rest
	// is needed to run the turn, or for the caller to retry.
	waitDivisor = 3
	// minTurnTime is the shortest time in which a turn can run. A turn with less
	// time left does not wait for the store, and waits only minRecordWait for
	// earlier reservations.
	minTurnTime = 400 * time.Millisecond
)

// waitLimit returns how long a turn may wait before it runs: at most limit, and
// less if the caller has little time left.
func waitLimit(r *messenger.BeginRequest, limit time.Duration) time.Duration {
	remaining := time.Duration(r.GetLeft()) * time.Millisecond
	if remaining < minTurnTime {
		return 0
	}
	return min(limit, remaining/waitDivisor)
}

// awaitStore waits until the store is reachable, for as long as the turn can wait.
// It returns false if the store is still unreachable after that time.
func (k *Keeper) awaitStore(ctx context.Context, r *messenger.BeginRequest, now time.Time) bool {
	deadline := now.Add(waitLimit(r, maxStoreWait))
	for {
		if k.config.StoreReachable(now) {
			return true
		}
		if !now.Before(deadline) || ctx.Err() != nil {
			return false
		}
		waiter.Sleep(ctx, storePollInterval)
		now = time.Now()
	}
}

// reserveTurn reserves budget of the turn's program: the maximum number of tokens that
// the turn can generate. If necessary, reserveTurn first waits until the reservations
// of earlier turns are recorded.
func (k *Keeper) reserveTurn(ctx context.Context, s *shard, r *messenger.BeginRequest, now time.Time) *messenger.BeginReply {
	if r.GetBudget() <= 0 {
		// The program has no budget: its turns are not limited.
		return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED}
	}
	ctx, cancel := context.WithTimeout(ctx, max(minRecordWait, waitLimit(r, maxRecordWait)))
	defer cancel()
	for {
		verdict, pending, err := s.reserve(r, now)
		var full *QueueFullError
		if errors.As(err, &full) {
			s.withdraw(r)
		}
		if err != nil {
			return uncertainReply(err)
		}
		switch v := verdict.(type) {
		case budgeter.Exceeded:
			k.config.Logger.Info().Str("program", r.GetProgram()).Str("id", r.GetTurn()).Int64("left", v.Left).
				Int64("most", r.GetMost()).Int64("budget", r.GetBudget()).Msg("budget exceeded")
			return &messenger.BeginReply{Verdict: messenger.BeginReply_EXCEEDED}
		case budgeter.RecordFirst:
			if !k.awaitChange(ctx, pending) {
				return &messenger.BeginReply{
					Verdict: messenger.BeginReply_UNCERTAIN, Detail: "earlier turns of the program are not recorded yet",
				}
			}
		default:
			if pending != nil && !k.awaitChange(ctx, pending) {
				s.withdraw(r)
				return &messenger.BeginReply{Verdict: messenger.BeginReply_UNCERTAIN, Detail: "the reservation is not recorded yet"}
			}
			if pending != nil && s.isOverdrawn(r.GetProgram()) {
				s.withdraw(r)
				return &messenger.BeginReply{Verdict: messenger.BeginReply_UNCERTAIN, Detail: "another home has reserved the rest of the budget meanwhile"}
			}
			return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED}
		}
	}
}

// awaitChange waits until a change is in the store. It returns false if the append
// failed or ctx ended first. If c is nil, there is no change to wait for: awaitChange
// then pauses briefly, so that the caller does not retry in a busy loop.
func (k *Keeper) awaitChange(ctx context.Context, c *change) bool {
	if c == nil {
		waiter.Sleep(ctx, minAppendBackoff)
		return ctx.Err() == nil
	}
	select {
	case <-c.done:
		return c.err == nil
	case <-ctx.Done():
		return false
	}
}

// uncertainReply returns the reply for a turn that the home can neither accept nor
// refuse because of an error.
func uncertainReply(err error) *messenger.BeginReply {
	return &messenger.BeginReply{Verdict: messenger.BeginReply_UNCERTAIN, Detail: err.Error()}
}
