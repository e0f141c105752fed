package keeper

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

// record appends a turn and returns once it is in the store.
func (s *shard) record(ctx context.Context, r *messenger.EndRequest) error {
	c := newChange(r.GetProgram(), turnChange{turn: turnRecord(r)})
	s.mu.Lock()
	known := s.tree.Has(r.GetTurn())
	var err error
	if !known {
		err = s.submit(c)
	}
	s.mu.Unlock()
	if known || err != nil {
		return err
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// adopt keeps a chain of another shard until a turn that continues it is
// recorded here with it.
func (s *shard) adopt(turn string, chain []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.imported == nil {
		s.imported = make(map[string][]byte)
	}
	s.imported[turn] = chain
}

// settleLazily has settlements that no append has taken along written.
func (s *shard) settleLazily() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
}

// idle reports whether the shard may be dropped.
func (s *shard) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.used) > shardKept && !s.writing && len(s.queue) == 0
}

// shardKept is how long a shard that has another home is held for stragglers.
const shardKept = 20 * time.Second
