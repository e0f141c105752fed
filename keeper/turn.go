package keeper

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

// origin returns the chain that has to be recorded with a turn that continues
// one of another shard; nil where the previous turn is in this one. The home may
// not have let the turn begin, and the entry host may have held the chain.
func (k *Keeper) origin(ctx context.Context, s *shard, previous string) ([]byte, error) {
	if previous == "" || s.whole(previous) {
		return nil, nil
	}
	chain, err := k.locate(ctx, s, previous)
	if err != nil || s.whole(previous) {
		return nil, err
	}
	return chain, nil
}

// whole reports whether the shard itself has a turn and all before it.
func (s *shard) whole(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.Whole(id)
}

// missing returns the part of a request's chain that the shard does not have;
// nil where it has all.
func (s *shard) missing(r *messenger.EndRequest) []byte {
	if r.GetPrevious() == "" || s.whole(r.GetPrevious()) {
		return nil
	}
	return r.GetChain()
}

// record appends a turn, with its chain where that is of another shard, and
// returns once it is in the store. It does not wait for a partition that is away
// unless it is asked to.
func (s *shard) record(ctx context.Context, r *messenger.EndRequest, origin []byte) error {
	c := newChange(r.GetProgram(), turnChange{turn: turnRecord(r), origin: origin})
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
	var away <-chan struct{}
	if !r.GetPatient() {
		away = s.awaySignal()
	}
	select {
	case <-c.done:
		return c.err
	case <-away:
		return &AwayError{Partition: s.partition}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// adopt keeps a chain of another shard, so that it need not be searched again
// when a turn that continues it ends.
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
