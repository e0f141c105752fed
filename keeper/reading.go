package keeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/historian"
	"github.com/citronpier/citronpier/recorder"
)

// loading is a read of a whole partition. All requests that need the shard wait for it.
type loading struct {
	// done is closed when the read has ended. err is valid from then on.
	done chan struct{}
	err  error
}

// load waits until the partition has been read to its end, and starts the read if
// necessary. The read goes on if ctx ends: other requests wait for it too, and what was
// transferred from a busy store would be read again.
func (s *shard) load(ctx context.Context) error {
	s.mu.Lock()
	if s.loaded {
		s.mu.Unlock()
		return nil
	}
	l := s.startLoading()
	s.mu.Unlock()
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startLoading starts a read of the partition to its end, unless one is under way. The
// caller holds mu.
func (s *shard) startLoading() *loading {
	if s.loading == nil {
		s.loading = &loading{done: make(chan struct{})}
		go s.readAll(s.loading)
	}
	return s.loading
}

// readAll reads the partition to its end.
func (s *shard) readAll(l *loading) {
	start := time.Now()
	err := s.refresh(s.keeper.ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.err = err
	s.loading = nil
	close(l.done)
	if err != nil {
		return
	}
	if s.loaded {
		return
	}
	s.loaded = true
	s.logger.Info().Int64("end", s.end).Int("turns", s.tree.Len()).Int("programs", len(s.accounts)).
		Dur("took_ms", time.Since(start)).Msg("shard loaded")
}

// refresh reads the records that other hosts have appended since the last read.
func (s *shard) refresh(ctx context.Context) error {
	if err := s.lockIO(ctx); err != nil {
		return err
	}
	defer s.unlockIO()
	return s.catchUp(ctx, nil)
}

// catchUp reads and applies records up to the partition's end. If own is not nil, it is a
// batch with a call whose outcome is unknown. catchUp notes which of its records are in the
// partition, and applies the batch as this home's own if that makes it whole. The caller holds
// ioLock.
func (s *shard) catchUp(ctx context.Context, own *batch) error {
	for {
		s.mu.Lock()
		from := s.end
		s.mu.Unlock()
		page, err := s.keeper.config.Store.Read(ctx, s.partition, from, 0)
		var trimmed *connector.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			s.skipExpired(trimmed.First)
			continue
		}
		if err != nil {
			return fmt.Errorf("read %s from %d: %w", s.partition, from, err)
		}
		atEnd := from+int64(len(page.Values)) >= page.End
		s.applyPage(page, own, time.Now(), atEnd)
		if atEnd {
			return nil
		}
		if len(page.Values) == 0 {
			return &RecordError{Detail: fmt.Sprintf("partition %s has no records from %d to %d", s.partition, from, page.End)}
		}
	}
}

// skipExpired moves on to the first record that the store still has. If only
// part of a batch has been read, that part is dropped.
func (s *shard) skipExpired(first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logger.Info().Int64("from", s.end).Int64("first", first).Msg("skipping expired records")
	s.end = first
	s.hadOtherWriter = true
	s.decoder = decoder{}
}

// applyPage applies the records of one read. own is a batch with a call of unknown outcome,
// or nil. atEnd is true if the partition ended with these records.
func (s *shard) applyPage(page connector.Records, own *batch, now time.Time, atEnd bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readSinceVisit = s.readSinceVisit || atEnd
	for _, record := range page.Values {
		if own != nil && own.take(s.end, record) {
			s.end++
			s.decoder = decoder{}
			if own.isWhole() {
				s.applyOwn(own, now)
			}
			continue
		}
		b, err := s.decoder.next(record)
		if err != nil {
			s.logger.Error().Err(err).Int64("offset", s.end).Msg("skipping unreadable record")
		}
		s.end++
		if b == nil {
			continue
		}
		s.applyForeign(b, now)
	}
}

// applyForeign applies a batch that was appended by another home or by an earlier
// incarnation of this host.
func (s *shard) applyForeign(b *recorder.ShardBatch, now time.Time) {
	s.hadOtherWriter = true
	if s.loaded && b.GetWriter() == s.keeper.config.Incarnation {
		// Another home has written again what this one reserves. Before the shard is loaded,
		// it is a record of this home from before the shard moved away and back.
		return
	}
	age := max(0, now.Sub(time.UnixMilli(b.GetWritten())))
	written := now.Add(-age)
	for _, h := range b.GetHolds() {
		s.account(h.GetProgram(), time.Duration(h.GetRetention())*time.Millisecond, now).
			applyOtherReservation(b.GetWriter(), h.GetTurn(), h.GetMost(), written)
	}
	for _, e := range b.GetSpendings() {
		s.account(e.GetProgram(), time.Duration(e.GetRetention())*time.Millisecond, now).
			applyOtherSpending(e.GetSettled(), written)
	}
	for _, t := range b.GetTurns() {
		s.addTurn(t, age, now)
		if t.GetProgram() != "" {
			s.account(t.GetProgram(), 0, now).applyOtherSettlement(t.GetId(), t.GetGenerated(), written)
		}
	}
	for _, e := range b.GetSettlements() {
		s.account(e.GetProgram(), 0, now).applyOtherSettlement(e.GetTurn(), e.GetGenerated(), written)
	}
	for _, bound := range b.GetBindings() {
		if expires := bindingExpiry(written, bound.GetRetention()); !now.After(expires) {
			build := descriptor.Build{Service: bound.GetService(), Version: bound.GetVersion()}
			s.bindings.add(bound.GetAttempt(), build, expires)
		}
	}
	for _, a := range b.GetAllowances() {
		s.account(a.GetProgram(), 0, now).applyOtherAllowance(b.GetWriter(), a.GetAmount(), written)
	}
}

// applyOwn applies a batch of this home once all of it is in the store. Its first record may be
// older than the last one, and expires first.
func (s *shard) applyOwn(b *batch, now time.Time) {
	for _, t := range b.message.GetTurns() {
		s.addTurn(t, now.Sub(b.built), now)
	}
	for _, c := range b.changes {
		if a, ok := s.accounts[c.program]; ok {
			a.applyRecorded(c, now)
		}
	}
}

// addTurn adds a recorded turn to the tree. age is the time since the turn's record was
// written.
func (s *shard) addTurn(t *recorder.Turn, age time.Duration, now time.Time) {
	s.tree.Add(historian.Turn{
		ID:        t.GetId(),
		Previous:  t.GetPrevious(),
		Input:     t.GetInput(),
		Output:    t.GetOutput(),
		Retention: time.Duration(t.GetRetention()) * time.Millisecond,
	}, age, now)
}
