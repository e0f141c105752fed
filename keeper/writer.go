package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/recorder"
)

const (
	// maxBatchBytes bounds the estimated size of a batch of several changes.
	maxBatchBytes = 1 << 20
	// callsPerBatch is the share of the store's limit for one call that a batch of
	// several changes may take by estimate: a half.
	callsPerBatch = 2
	// recordFramingBytes is room for what the store's protocol adds to a record.
	recordFramingBytes = 16
	// maxQueuedChanges bounds the changes of one shard that wait for an append.
	maxQueuedChanges = 1024
	// minAppendBackoff and maxAppendBackoff bound the wait between two tries of an
	// append.
	minAppendBackoff = 10 * time.Millisecond
	maxAppendBackoff = 250 * time.Millisecond
)

// batch is the content of one append, which is retried until its outcome is known.
type batch struct {
	// sequence identifies the batch among the batches of this incarnation.
	sequence uint64
	changes  []*change
	message  *recorder.ShardBatch
	// copies holds what is written again for other homes, by the incarnation of the home.
	copies map[string]*recorder.ShardBatch
	// records holds the encoded message and the copies.
	records [][]byte
	// readBack is set once the batch has been read from the partition. The append
	// then took effect although its answer was lost.
	readBack bool
}

// size returns the size of the batch's records in a call of the store, in bytes.
func (b *batch) size() int {
	size := 0
	for _, r := range b.records {
		size += len(r) + recordFramingBytes
	}
	return size
}

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
	if limit := s.keeper.config.CallBytes; limit > 0 {
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

// commitChanges appends changes. If another home appends first, the records are
// built again from the updated state, since that home may have recorded the same
// turns.
func (s *shard) commitChanges(ctx context.Context, changes []*change) error {
	if err := s.lockIO(ctx); err != nil {
		return err
	}
	defer s.unlockIO()
	for ctx.Err() == nil {
		b, offset, err := s.buildBatch(changes)
		if err != nil {
			return err
		}
		done, err := s.appendBatch(ctx, b, offset)
		if done || err != nil {
			return err
		}
	}
	return ctx.Err()
}

// buildBatch builds the records of changes from the current state. The batch is to
// be appended at the returned offset. The error is an *EncodingError.
func (s *shard) buildBatch(changes []*change) (b *batch, offset int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = &batch{sequence: s.keeper.lastSequence.Add(1), changes: changes}
	b.message = &recorder.ShardBatch{
		Writer: s.keeper.config.Incarnation, Sequence: b.sequence, Written: time.Now().UnixMilli(),
	}
	for _, c := range changes {
		c.addTo(b, s)
	}
	err = b.encode(s.keeper.config.RecordBytes)
	return b, s.end, err
}

// messageOf returns the message for records of the home with the given incarnation: this home
// or another one, for which records are written again.
func (b *batch) messageOf(writer string) *recorder.ShardBatch {
	if writer == b.message.GetWriter() {
		return b.message
	}
	if b.copies == nil {
		b.copies = make(map[string]*recorder.ShardBatch)
	}
	if b.copies[writer] == nil {
		b.copies[writer] = &recorder.ShardBatch{Writer: writer, Written: b.message.GetWritten()}
	}
	return b.copies[writer]
}

// encode encodes the message and the copies. The error is an *EncodingError.
func (b *batch) encode(limit int) error {
	var err error
	if b.records, err = encode(b.message, limit); err != nil {
		return err
	}
	for _, c := range b.copies {
		records, err := encode(c, limit)
		if err != nil {
			return err
		}
		b.records = append(b.records, records...)
	}
	return nil
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

// appendBatch repeats one append until its outcome is known. done is true if the
// batch is in the partition, and false if another append took its offset. The error is a
// *TooLargeError if the store will never take the batch. The caller holds ioLock.
func (s *shard) appendBatch(ctx context.Context, b *batch, offset int64) (done bool, err error) {
	tooLarge := &TooLargeError{Shard: s.partition.String(), Bytes: b.size()}
	if limit := s.keeper.config.CallBytes; limit > 0 && tooLarge.Bytes > limit {
		return false, tooLarge
	}
	start := time.Now()
	defer func() { s.keeper.config.Counters.Measured(counter.MeasureAppend, time.Since(start)) }()
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = minAppendBackoff
	retries.MaxInterval = maxAppendBackoff
	for ctx.Err() == nil {
		_, err := s.keeper.config.Store.Append(ctx, s.partition, b.records, offset)
		var mismatch *connector.EndMismatchError
		if err == nil || errors.As(err, &mismatch) || connector.IsTooLarge(err) {
			s.recordAppendAnswer()
		}
		switch {
		case err == nil:
			s.mu.Lock()
			s.end = offset + int64(len(b.records))
			s.readSinceVisit = true
			s.applyOwn(b, time.Now())
			s.mu.Unlock()
			return true, nil
		case errors.As(err, &mismatch):
			if err := s.catchUp(ctx, b); err == nil {
				s.logger.Info().Int64("at", offset).Int64("end", mismatch.End).Bool("own", b.readBack).Msg("partition did not end at the expected offset")
				return b.readBack, nil
			}
		case connector.IsTooLarge(err):
			return false, tooLarge
		default:
			s.recordAppendFailure(time.Now())
			s.keeper.config.Counters.Retries.Add("append", 1)
			s.logger.Debug().Err(err).Msg("append failed, trying again")
		}
		waiter.Sleep(ctx, retries.NextBackOff())
	}
	return false, ctx.Err()
}
