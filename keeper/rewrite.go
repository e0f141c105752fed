package keeper

import (
	"maps"
	"time"

	"github.com/citronpier/citronpier/historian"
	"github.com/citronpier/citronpier/recorder"
)

const (
	// rewriteDivisor sets when records are written again: once they are older than half
	// of the store's retention.
	rewriteDivisor = 2
	// maxQueuedRewrites bounds the records of one shard that are being written again.
	// Callers' turns need the rest of the queue.
	maxQueuedRewrites = maxQueuedChanges / 4
)

// rewriteKey names the record that a rewrite copies: a turn, the sum of settlements of a
// program, or what a home with the incarnation writer reserves of a program's budget, for a
// turn or as its allowance. The other fields are empty.
type rewriteKey struct{ turn, program, writer string }

// rewriteExpiring queues new copies of the records that are still needed and that
// the store will drop soon: the sum of settlements of each program, what homes reserve of
// budgets, and turns. A record whose copy could not be queued or appended remains due, and the next call tries again.
func (s *shard) rewriteExpiring(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.rewrites, func(_ rewriteKey, c *change) bool { return c.isComplete() })
	cutoff := now.Add(-s.keeper.config.Retention / rewriteDivisor)
	err := s.rewriteSums(cutoff, now)
	if err == nil {
		err = s.rewriteReserved(cutoff)
	}
	if err == nil {
		err = s.rewriteTurns(s.tree.Due(cutoff))
	}
	if err != nil {
		s.logger.Warn().Err(err).Msg("expiring records not queued for rewriting, trying again later")
	}
}

// rewriteSums queues the sums of settlements that were last written before the cutoff.
// The caller holds mu.
func (s *shard) rewriteSums(cutoff, now time.Time) error {
	for program, a := range s.accounts {
		if a.sumWritten.IsZero() {
			a.sumWritten = now
		}
		if !a.sumWritten.Before(cutoff) || a.escrow.Settled == 0 {
			continue
		}
		c := newChange(program, rewriteSpendingChange{retention: a.retention, taken: now})
		if err := s.enqueueRewrite(rewriteKey{program: program}, c); err != nil {
			return err
		}
	}
	return nil
}

// rewriteTurns queues turns. The caller holds mu.
func (s *shard) rewriteTurns(turns []historian.Turn) error {
	for _, t := range turns {
		c := newChange("", rewriteTurnChange{turn: &recorder.Turn{
			Id: t.ID, Previous: t.Previous, Input: t.Input, Output: t.Output, Retention: t.Retention.Milliseconds(),
		}})
		if err := s.enqueueRewrite(rewriteKey{turn: t.ID}, c); err != nil {
			return err
		}
	}
	return nil
}

// enqueueRewrite queues a change that writes a record again, unless such a change is
// under way or maxQueuedRewrites are. It returns a *QueueFullError if the queue is full.
// The caller holds mu.
func (s *shard) enqueueRewrite(key rewriteKey, c *change) error {
	if _, ok := s.rewrites[key]; ok || len(s.rewrites) >= maxQueuedRewrites {
		return nil
	}
	if err := s.enqueue(c); err != nil {
		return err
	}
	if s.rewrites == nil {
		s.rewrites = make(map[rewriteKey]*change)
	}
	s.rewrites[key] = c
	return nil
}
