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
	// minAppendBackoff and maxAppendBackoff bound the wait between two tries of an
	// append.
	minAppendBackoff = 10 * time.Millisecond
	maxAppendBackoff = 250 * time.Millisecond
	// maxInterruptions is how often a batch of several calls may be interrupted by another
	// home before it is given up: the shard has two homes then, and a fallback shard may have
	// one. What an interrupted batch has left in the partition takes room until it expires.
	maxInterruptions = 3
)

// commitChanges appends changes. If another home appends first, the records are
// built again from the updated state, since that home may have recorded the same
// turns. The error is a *TooLargeError, an *EncodingError, an *InterruptedError or that of the
// context.
func (s *shard) commitChanges(ctx context.Context, changes []*change) error {
	if err := s.lockIO(ctx); err != nil {
		return err
	}
	defer s.unlockIO()
	for interruptions := 0; ctx.Err() == nil; {
		b, err := s.buildBatch(changes)
		if err != nil {
			return err
		}
		done, err := s.appendBatch(ctx, b)
		var refused *recordRefusedError
		if errors.As(err, &refused) {
			continue
		}
		if done || err != nil {
			return err
		}
		if b.landed == 0 {
			continue
		}
		if interruptions++; interruptions == maxInterruptions {
			return &InterruptedError{Shard: s.partition.String(), Records: len(b.records), Bytes: callSize(b.records)}
		}
	}
	return ctx.Err()
}

// buildBatch builds the records of changes from the current state, to be appended at the end
// of the partition. The error is an *EncodingError.
func (s *shard) buildBatch(changes []*change) (*batch, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &batch{sequence: s.keeper.lastSequence.Add(1), changes: changes, built: now, offset: s.end}
	b.message = &recorder.ShardBatch{
		Writer: s.keeper.config.Incarnation, Sequence: b.sequence, Written: now.UnixMilli(),
	}
	for _, c := range changes {
		c.addTo(b, s)
	}
	return b, b.encode(s.keeper.recordLimit())
}

// appendBatch appends the records of a batch, call by call. It repeats each call until its
// outcome is known. done is true if the batch is in the partition, and false if another home
// has interrupted it. The error is a *TooLargeError if the store will never take the batch, and a
// *recordRefusedError if it may take the batch in smaller records. The caller holds ioLock.
func (s *shard) appendBatch(ctx context.Context, b *batch) (done bool, err error) {
	if limit := s.keeper.callLimit(); len(b.changes) > 1 && limit > 0 && callSize(b.records) > limit {
		return false, &TooLargeError{Shard: s.partition.String(), Bytes: callSize(b.records)}
	}
	start := time.Now()
	defer func() { s.keeper.config.Counters.Measured(counter.MeasureAppend, time.Since(start)) }()
	for ctx.Err() == nil && !b.isWhole() && !b.interrupted {
		if err := s.appendNext(ctx, b); err != nil {
			return false, err
		}
	}
	if b.interrupted && b.landed > 0 {
		s.keeper.config.Counters.Retries.Add("interrupted", 1)
	}
	if b.isWhole() || b.interrupted {
		return b.isWhole(), nil
	}
	return false, ctx.Err()
}

// appendNext appends the next records of a batch, as many as one call holds, and repeats the
// call until its outcome is known. The error is that of divideCall. The caller holds ioLock.
func (s *shard) appendNext(ctx context.Context, b *batch) error {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = minAppendBackoff
	retries.MaxInterval = maxAppendBackoff
	for landed := b.landed; ctx.Err() == nil && b.landed == landed && !b.interrupted; {
		call := b.nextCall(s.keeper.dividedLimit())
		began := time.Now()
		_, err := s.keeper.config.Store.Append(ctx, s.partition, call, b.nextOffset())
		took := time.Since(began)
		var mismatch *connector.EndMismatchError
		if err == nil || errors.As(err, &mismatch) || connector.IsTooLarge(err) {
			s.recordAppendAnswer()
		}
		switch {
		case err == nil:
			s.keeper.pace.succeeded(callSize(call), took)
			s.applyAppended(b, len(call), time.Now())
			return nil
		case errors.As(err, &mismatch):
			if s.resolveMismatch(ctx, b, mismatch) {
				return nil
			}
		case connector.IsTooLarge(err):
			if err := s.divideCall(b, call); err != nil {
				return err
			}
			continue
		default:
			if connector.IsLost(err) {
				s.keeper.pace.lost(callSize(call))
			}
			s.recordAppendFailure(time.Now())
			s.keeper.config.Counters.Retries.Add("append", 1)
			s.logger.Debug().Err(err).Msg("append failed, trying again")
		}
		waiter.Sleep(ctx, retries.NextBackOff())
	}
	return nil
}

// applyAppended notes that the next records of a batch are in the partition, and applies the
// batch if it is whole.
func (s *shard) applyAppended(b *batch, records int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.landed += records
	s.end = b.nextOffset()
	s.readSinceVisit = true
	s.decoder = decoder{}
	if b.isWhole() {
		s.applyOwn(b, now)
	}
}

// resolveMismatch reads the partition after it did not end where a call for a batch expected it:
// the reply to an earlier try of the call was lost, or another home has appended. It returns
// false if that is not known yet.
func (s *shard) resolveMismatch(ctx context.Context, b *batch, mismatch *connector.EndMismatchError) bool {
	at, before := b.nextOffset(), b.landed
	if err := s.catchUp(ctx, b); err != nil {
		return false
	}
	s.mu.Lock()
	if !b.isWhole() && s.end != b.nextOffset() {
		// The store has dropped the record that follows.
		b.interrupted = true
	}
	s.mu.Unlock()
	s.logger.Info().Int64("at", at).Int64("end", mismatch.End).Bool("own", b.landed > before).Int("landed", b.landed).
		Int("records", len(b.records)).Msg("partition did not end at the expected offset")
	return b.landed > before || b.interrupted
}

// divideCall lowers the limits after the store has refused a call for its size. The error is a
// *recordRefusedError if the batch has to be encoded into smaller records, and a *TooLargeError if
// its changes have to be appended apart, or can't be.
func (s *shard) divideCall(b *batch, call [][]byte) error {
	size := callSize(call)
	if len(call) == 1 {
		if s.keeper.limits.refuseRecord(size, s.keeper.config.Logger) {
			return &recordRefusedError{Bytes: size}
		}
		return &TooLargeError{Shard: s.partition.String(), Bytes: size}
	}
	s.keeper.limits.refuseCall(size, s.keeper.config.Logger)
	if len(b.changes) > 1 {
		return &TooLargeError{Shard: s.partition.String(), Bytes: size}
	}
	return nil
}

// callLimit returns the size limit of one append in bytes; 0 if it is unknown.
func (k *Keeper) callLimit() int { return k.limits.ofCall(k.config.CallBytes) }

// dividedLimit returns the size limit in bytes of the appends of a batch that is divided.
func (k *Keeper) dividedLimit() int { return lowerTo(k.callLimit(), k.pace.size()) }

// recordLimit returns the size limit of the data of one record in bytes.
func (k *Keeper) recordLimit() int {
	return k.limits.ofRecord(k.config.RecordBytes, k.config.CallBytes)
}
