package keeper

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
)

// ChainRequiredError reports that a shard lacks the chain of a turn, and that the entry
// host holds it: the text of the turn and of all turns before it.
type ChainRequiredError struct{ Turn string }

// Error returns a message with the turn's id.
func (e *ChainRequiredError) Error() string {
	return "the shard lacks the chain of turn " + e.Turn + ", which the entry host holds"
}

// foreignChain returns the chain of the previous turn, that is, the text of that turn
// and of all turns before it, if this shard does not have all these turns. The chain
// then has to be recorded with the turn that continues it. Otherwise foreignChain
// returns nil.
//
// This home may not have looked the chain up when the turn began: another home may
// have handled Begin, or the entry host, which serves the caller, may have had the
// chain cached. The entry host holds the chain then. The error is a *ChainRequiredError
// if the entry host has not sent the chain yet: other shards may be unavailable, and the
// previous turn may have expired.
func (k *Keeper) foreignChain(ctx context.Context, s *shard, r *messenger.EndRequest) ([]byte, error) {
	previous := r.GetPrevious()
	if previous == "" || s.hasChain(previous) {
		return nil, nil
	}
	if r.Chain != nil || r.GetAside() {
		return r.GetChain(), nil
	}
	if chain, ok := s.chain(previous); ok {
		return chain, nil
	}
	if r.GetCached() {
		return nil, &ChainRequiredError{Turn: previous}
	}
	return k.locateForeignChain(ctx, s, previous)
}

// locateForeignChain returns what foreignChain returns, for an entry host of an earlier
// release, which sends no chain.
func (k *Keeper) locateForeignChain(ctx context.Context, s *shard, previous string) ([]byte, error) {
	chain, err := k.locateChain(ctx, s, previous)
	if err != nil || s.hasChain(previous) {
		return nil, err
	}
	return chain, nil
}

const (
	// maxLoadWait is how long the end of a turn waits for the store if the shard has not
	// been read. Afterwards another host may try it.
	maxLoadWait = time.Second
	// loadPause is the time between two reads of a shard for which the end of a turn waits.
	loadPause = 100 * time.Millisecond
)

// loadForEnd does what load does. If the whole store is unreachable, it tries again for up
// to maxLoadWait: a home that has read the shard waits for the store, too.
func (s *shard) loadForEnd(ctx context.Context) error {
	deadline := time.Now().Add(maxLoadWait)
	for {
		err := s.load(ctx)
		now := time.Now()
		if err == nil || ctx.Err() != nil || !now.Before(deadline) {
			return err
		}
		if s.keeper.isUnavailable(s.partition, now) {
			return err
		}
		waiter.Sleep(ctx, loadPause)
	}
}

// hasChain reports whether the shard itself has a turn and all turns before it.
func (s *shard) hasChain(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tree.HasChain(id)
}

// keepPrevious keeps the previous turn of a turn that is to be recorded, and all turns
// before it, for the turn's retention. The turn's record doesn't contain their text, so
// they must not expire between the check of the chain and the append.
func (s *shard) keepPrevious(r *messenger.EndRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.Keep(r.GetPrevious(), now.Add(time.Duration(r.GetRetention())*time.Millisecond))
}

// keepPreviousOfPending keeps the previous turns of all turns whose append has not ended,
// and all turns before them: an append may wait longer than the turn's retention. The
// caller holds mu.
func (s *shard) keepPreviousOfPending(now time.Time) {
	for _, c := range s.pendingTurns {
		if k, ok := c.kind.(turnChange); ok {
			s.tree.Keep(k.turn.GetPrevious(), now)
		}
	}
}

// appendTurn queues a turn and returns once the turn is in the store. previousChain
// is the chain of the previous turn and is recorded together with the turn; nil if the
// shard already has that chain. While the partition is unavailable, appendTurn
// returns an *UnavailableError, or waits if the request has Patient set.
func (s *shard) appendTurn(ctx context.Context, r *messenger.EndRequest, previousChain []byte) error {
	s.mu.Lock()
	known := s.tree.Has(r.GetTurn())
	var c *change
	var err error
	if !known {
		c, err = s.enqueueTurn(r, previousChain)
	}
	s.mu.Unlock()
	if known || err != nil {
		return err
	}
	var unavailable <-chan struct{}
	if !r.GetPatient() {
		unavailable = s.whenUnavailable()
	}
	select {
	case <-c.done:
		return c.err
	case <-unavailable:
		return &UnavailableError{Partition: s.partition}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueueTurn queues a turn and returns its change. If the same turn is already waiting for
// its append, with the chain of the previous turn where one is given, enqueueTurn returns
// the change that waits. The caller holds mu.
func (s *shard) enqueueTurn(r *messenger.EndRequest, previousChain []byte) (*change, error) {
	if c, ok := s.pendingTurns[r.GetTurn()]; ok {
		if k := c.kind.(turnChange); previousChain == nil || k.previousChain != nil {
			return c, nil
		}
	}
	c := newChange(r.GetProgram(), turnChange{turn: turnRecord(r), previousChain: previousChain})
	if err := s.enqueue(c); err != nil {
		return nil, err
	}
	if s.pendingTurns == nil {
		s.pendingTurns = make(map[string]*change)
	}
	s.pendingTurns[r.GetTurn()] = c
	return c, nil
}

// forgetPendingTurns removes the turns of changes whose append has ended.
func (s *shard) forgetPendingTurns(changes []*change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		k, ok := c.kind.(turnChange)
		if ok && s.pendingTurns[k.turn.GetId()] == c {
			delete(s.pendingTurns, k.turn.GetId())
		}
	}
}

// keepOtherChain caches a chain that was found in another shard, so that the home
// need not search for the chain again when the turn that continues the chain ends.
func (s *shard) keepOtherChain(turn string, chain []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.otherChains == nil {
		s.otherChains = make(map[string][]byte)
	}
	s.makeRoomForChain(len(chain))
	s.otherChains[turn] = chain
}

// flushDeferred queues the deferred changes that no append has included yet. Tick
// calls it, so that a settlement is written soon even if nothing else is appended.
func (s *shard) flushDeferred() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushDeferredLocked()
}

// isIdle reports whether the shard has been unused for longer than shardIdleTimeout
// and has nothing to append.
func (s *shard) isIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastUsed) > shardIdleTimeout && !s.writing && len(s.queue) == 0
}

// shardIdleTimeout is how long a shard that has another home stays in memory after
// its last request: late requests of running turns may still arrive.
const shardIdleTimeout = 20 * time.Second
