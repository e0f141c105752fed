package keeper

import (
	"context"
	"errors"

	"github.com/citronpier/citronpier/recorder"
)

const (
	// maxBatchBytes bounds the estimated size of a batch of several changes.
	maxBatchBytes = 1 << 20
	// callsPerBatch is the share of the store's limit for one call that a batch of
	// several changes may take by estimate: a half.
	callsPerBatch = 2
	// maxQueuedChanges bounds the changes of one shard that wait for an append.
	maxQueuedChanges = 1024
)

// enqueue queues a change for the next append. It returns a *QueueFullError if the queue
// is full. The caller holds mu.
func (s *shard) enqueue(c *change) error {
	if len(s.queue) >= maxQueuedChanges {
		return &QueueFullError{Shard: s.partition.String(), Waiting: len(s.queue)}
	}
	s.queue = append(s.queue, c)
	s.startWriter()
	return nil
}

// startWriter starts a goroutine that writes the queue, unless such a goroutine is
// already running. The caller holds mu.
func (s *shard) startWriter() {
	if !s.writing {
		s.writing = true
		go s.writeQueue()
	}
}

// flushDeferredLocked queues the deferred changes now. It returns the last of them,
// or nil if there is none. The caller holds mu.
func (s *shard) flushDeferredLocked() *change {
	if len(s.deferred) == 0 {
		return nil
	}
	last := s.deferred[len(s.deferred)-1]
	s.queue = append(s.queue, s.deferred...)
	s.deferred = nil
	s.startWriter()
	return last
}

// writeQueue appends queued changes, batch by batch, until the queue is empty or
// the host stops.
func (s *shard) writeQueue() {
	ctx := s.keeper.ctx
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || ctx.Err() != nil {
			s.writing = false
			s.mu.Unlock()
			return
		}
		taken := s.takeBatch()
		s.mu.Unlock()
		s.commitOrFail(ctx, taken)
	}
}

// commitOrFail appends changes and sets their results. If they are too large for one
// append, or one of them can't be encoded, it appends them in parts, so that only a change
// fails that the store can't take on its own.
func (s *shard) commitOrFail(ctx context.Context, changes []*change) {
	err := s.commitChanges(ctx, changes)
	if len(changes) > 1 && isUnappendable(err) {
		half := len(changes) / 2
		s.commitOrFail(ctx, changes[:half])
		s.commitOrFail(ctx, changes[half:])
		return
	}
	if err != nil {
		s.logger.Error().Err(err).Int("changes", len(changes)).Int("bytes", estimatedBytes(changes)).Strs("turns", turnIDs(changes)).
			Msg("append abandoned")
	}
	s.forgetPendingTurns(changes)
	for _, c := range changes {
		c.complete(err)
	}
}

// isUnappendable reports whether an append failed because of what it contains.
func isUnappendable(err error) bool {
	var tooLarge *TooLargeError
	var encoding *EncodingError
	return errors.As(err, &tooLarge) || errors.As(err, &encoding)
}

// maxBatch returns the bound of the estimated size of a batch of several changes.
func (s *shard) maxBatch() int {
	if limit := s.keeper.callLimit(); limit > 0 {
		return min(maxBatchBytes, limit/callsPerBatch)
	}
	return maxBatchBytes
}

// takeBatch queues the deferred changes and removes the changes of the next batch
// from the queue. The caller holds mu.
func (s *shard) takeBatch() []*change {
	s.queue = append(s.queue, s.deferred...)
	s.deferred = nil
	size, n := 0, 0
	for n < len(s.queue) {
		size += s.queue[n].estimatedBytes()
		if n > 0 && size > s.maxBatch() {
			break
		}
		n++
	}
	taken := s.queue[:n:n]
	s.queue = s.queue[n:]
	return taken
}

// addTurnRecords adds a turn to a batch, unless the shard has the turn already. If
// the change contains the chain of the previous turn (the text of that turn and of all
// turns before it) and the shard lacks any of these turns, the chain is added as a
// separate turn, with the previous turn's id.
// The caller holds mu.
func (s *shard) addTurnRecords(message *recorder.ShardBatch, c turnChange) {
	if s.tree.Has(c.turn.GetId()) {
		return
	}
	if previous := c.turn.GetPrevious(); c.previousChain != nil && !s.tree.HasChain(previous) {
		message.Turns = append(message.Turns, &recorder.Turn{
			Id: previous, Input: c.previousChain, Retention: c.turn.GetRetention(),
		})
	}
	message.Turns = append(message.Turns, c.turn)
}
