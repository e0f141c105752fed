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
	// groupBytes is the size at which a batch is closed, well under the store's
	// limit of a call.
	groupBytes = 1 << 20
	// queueChanges is the most changes of one shard that wait for the store.
	queueChanges = 1024
	// firstPause and longestPause bound the wait before an append is repeated.
	firstPause   = 10 * time.Millisecond
	longestPause = 250 * time.Millisecond
)

// batch is one append under way.
type batch struct {
	sequence uint64
	changes  []*change
	message  *recorder.ShardBatch
	records  [][]byte
	// found says that the batch was read back.
	found bool
}

// submit queues a change. It needs mu to be held.
func (s *shard) submit(c *change) error {
	if len(s.queue) >= queueChanges {
		return &FullError{Shard: s.partition.String(), Waiting: len(s.queue)}
	}
	s.queue = append(s.queue, c)
	s.begin()
	return nil
}

// begin has the queue written. It needs mu to be held.
func (s *shard) begin() {
	if !s.writing {
		s.writing = true
		go s.write()
	}
}

// flush has the lazy changes written at once and returns the last one, nil
// where there is none. It needs mu to be held.
func (s *shard) flush() *change {
	if len(s.lazy) == 0 {
		return nil
	}
	last := s.lazy[len(s.lazy)-1]
	s.queue = append(s.queue, s.lazy...)
	s.lazy = nil
	s.begin()
	return last
}

// write appends queued changes until there are none.
func (s *shard) write() {
	ctx := s.keeper.ctx
	for {
		s.mu.Lock()
		if len(s.queue) == 0 || ctx.Err() != nil {
			s.writing = false
			s.mu.Unlock()
			return
		}
		taken := s.take()
		s.mu.Unlock()
		err := s.commit(ctx, taken)
		if err != nil {
			s.logger.Error().Err(err).Int("changes", len(taken)).Msg("append given up")
		}
		for _, c := range taken {
			c.finish(err)
		}
	}
}

// take removes the changes of the next batch from the queue, the lazy ones
// with them.
func (s *shard) take() []*change {
	s.queue = append(s.queue, s.lazy...)
	s.lazy = nil
	size, n := 0, 0
	for n < len(s.queue) && (n == 0 || size < groupBytes) {
		size += s.queue[n].size()
		n++
	}
	taken := s.queue[:n:n]
	s.queue = s.queue[n:]
	return taken
}

// commit appends changes, built anew whenever another home has appended.
func (s *shard) commit(ctx context.Context, changes []*change) error {
	if err := s.acquire(ctx); err != nil {
		return err
	}
	defer s.free()
	for ctx.Err() == nil {
		b, at, err := s.build(changes)
		if err != nil {
			return err
		}
		done, err := s.append(ctx, b, at)
		if done || err != nil {
			return err
		}
	}
	return ctx.Err()
}

// build makes the records of changes from the state at the partition's end.
func (s *shard) build(changes []*change) (b *batch, at int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = &batch{sequence: s.keeper.sequence.Add(1), changes: changes}
	b.message = &recorder.ShardBatch{
		Writer: s.keeper.config.Incarnation, Sequence: b.sequence, Written: time.Now().UnixMilli(),
	}
	for _, c := range changes {
		c.addTo(b.message, s)
	}
	b.records, err = encode(b.message, s.keeper.config.RecordBytes)
	return b, s.end, err
}

// buildTurn adds the record of a turn, and of its chain where that is of another
// shard.
func (s *shard) buildTurn(message *recorder.ShardBatch, c turnChange) {
	if s.tree.Has(c.turn.GetId()) {
		return
	}
	if previous := c.turn.GetPrevious(); c.origin != nil && !s.tree.Has(previous) {
		message.Turns = append(message.Turns, &recorder.Turn{
			Id: previous, Input: c.origin, Retention: c.turn.GetRetention(),
		})
	}
	message.Turns = append(message.Turns, c.turn)
}

// append repeats one append until its fate is known. It is done where the
// batch is in the partition, and not where another append came first.
func (s *shard) append(ctx context.Context, b *batch, at int64) (done bool, err error) {
	began := time.Now()
	defer func() { s.keeper.config.Counters.Measured(counter.MeasureAppend, time.Since(began)) }()
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = firstPause
	retries.MaxInterval = longestPause
	for ctx.Err() == nil {
		_, err := s.keeper.config.Store.Append(ctx, s.partition, b.records, at)
		var moved *connector.MovedError
		if err == nil || errors.As(err, &moved) {
			s.answered()
		}
		switch {
		case err == nil:
			s.mu.Lock()
			s.end = at + int64(len(b.records))
			s.applyOwn(b, time.Now())
			s.mu.Unlock()
			return true, nil
		case errors.As(err, &moved):
			if err := s.catchUp(ctx, b); err == nil {
				s.logger.Info().Int64("at", at).Int64("end", moved.End).Bool("own", b.found).Msg("append expected another end")
				return b.found, nil
			}
		default:
			s.failed(time.Now())
			s.keeper.config.Counters.Retries.Add("append", 1)
			s.logger.Debug().Err(err).Msg("append failed")
		}
		waiter.Sleep(ctx, retries.NextBackOff())
	}
	return false, ctx.Err()
}
