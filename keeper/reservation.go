package keeper

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// storeWait is how long a turn waits for a store that is away: short
	// outages cost it less than coming again.
	storeWait = 1200 * time.Millisecond
	// storeStep is the time between looks.
	storeStep = 25 * time.Millisecond
	// recordWait is how long a turn waits for the records of earlier ones.
	recordWait = 1200 * time.Millisecond
	// leastRecord is how long a turn waits for them in any case: an append and
	// some.
	leastRecord = 50 * time.Millisecond
	// waitShare is the part of a turn's time, as a divisor, that it may wait:
	// the rest is needed to run it, or to come again.
	waitShare = 3
	// leastTime is the time that a turn needs to run at all.
	leastTime = 400 * time.Millisecond
)

// patience returns how long a turn may wait for what would let it run.
func patience(r *messenger.BeginRequest, most time.Duration) time.Duration {
	left := time.Duration(r.GetLeft()) * time.Millisecond
	if left < leastTime {
		return 0
	}
	return min(most, left/waitShare)
}

// awaitStore reports whether the store is reached, and waits for it for a time.
func (k *Keeper) awaitStore(ctx context.Context, r *messenger.BeginRequest, now time.Time) bool {
	until := now.Add(patience(r, storeWait))
	for {
		if k.config.Stored(now) {
			return true
		}
		if !now.Before(until) || ctx.Err() != nil {
			return false
		}
		waiter.Sleep(ctx, storeStep)
		now = time.Now()
	}
}

// reserve holds the most of a turn in its program's budget.
func (k *Keeper) reserve(ctx context.Context, s *shard, r *messenger.BeginRequest, now time.Time) *messenger.BeginReply {
	if r.GetBudget() <= 0 {
		// The program names no budget: it has no bound.
		return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED}
	}
	ctx, cancel := context.WithTimeout(ctx, max(leastRecord, patience(r, recordWait)))
	defer cancel()
	for {
		verdict, pending, err := s.hold(r, now)
		if err != nil {
			return uncertain(err)
		}
		switch v := verdict.(type) {
		case budgeter.Exceeded:
			k.config.Logger.Info().Str("program", r.GetProgram()).Str("id", r.GetTurn()).Int64("left", v.Left).
				Int64("most", r.GetMost()).Int64("budget", r.GetBudget()).Msg("budget exceeded")
			return &messenger.BeginReply{Verdict: messenger.BeginReply_EXCEEDED}
		case budgeter.Behind:
			if !k.await(ctx, pending) {
				return &messenger.BeginReply{
					Verdict: messenger.BeginReply_UNCERTAIN, Detail: "earlier turns of the program are not recorded yet",
				}
			}
		default:
			return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED}
		}
	}
}

// await reports whether a change got into the store. Where there is none, it
// waits for a short time.
func (k *Keeper) await(ctx context.Context, c *change) bool {
	if c == nil {
		waiter.Sleep(ctx, firstPause)
		return ctx.Err() == nil
	}
	select {
	case <-c.done:
		return c.err == nil
	case <-ctx.Done():
		return false
	}
}

func uncertain(err error) *messenger.BeginReply {
	return &messenger.BeginReply{Verdict: messenger.BeginReply_UNCERTAIN, Detail: err.Error()}
}
