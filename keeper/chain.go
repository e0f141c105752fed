package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

// findChain returns the chain that a turn continues. The chain is nil if the turn
// continues no other turn, or if the requesting host already has the chain. If the
// chain is not found, findChain returns the reply to send instead.
func (k *Keeper) findChain(ctx context.Context, s *shard, r *messenger.BeginRequest) ([]byte, *messenger.BeginReply) {
	if r.GetPrevious() == "" || r.GetCached() {
		return nil, nil
	}
	chain, err := k.locateChain(ctx, s, r.GetPrevious())
	var missingErr *MissingError
	switch {
	case err == nil:
		return chain, nil
	case errors.As(err, &missingErr):
		return nil, &messenger.BeginReply{Verdict: messenger.BeginReply_MISSING}
	default:
		return nil, uncertainReply(err)
	}
}

// MissingError reports that no shard has a turn. It is returned only if every
// shard has been read to its end.
type MissingError struct{ Turn string }

// Error returns a message with the turn's id.
func (e *MissingError) Error() string { return "no shard has turn " + e.Turn }

// SearchError reports that a turn was not found, and that at least one shard could
// not be searched for it.
type SearchError struct{ Turn string }

// Error returns a message with the turn's id.
func (e *SearchError) Error() string { return "not every shard could be searched for turn " + e.Turn }

// locateChain returns the chain of a turn (its text and the text of all turns before
// it) from the given shard or, failing that, from any other shard. The error is a
// *MissingError only if all shards have been searched.
func (k *Keeper) locateChain(ctx context.Context, s *shard, turn string) ([]byte, error) {
	if chain, ok := s.chain(turn); ok {
		return chain, nil
	}
	// An unavailable partition is not read. Turns that could not be appended to the
	// partition are recorded in fallback shards. The search below includes those
	// shards.
	unavailable := s.isUnavailable()
	if !unavailable {
		err := s.refresh(ctx)
		unavailable = err != nil && k.isUnavailable(s.partition, time.Now())
		if err != nil && !unavailable {
			return nil, err
		}
		if chain, ok := s.chain(turn); ok {
			return chain, nil
		}
	}
	chain, found, certain := k.searchOtherShards(ctx, s, turn)
	switch {
	case found:
		s.keepOtherChain(turn, chain)
		return chain, nil
	case certain && !unavailable:
		return nil, &MissingError{Turn: turn}
	default:
		return nil, &SearchError{Turn: turn}
	}
}

// searchOtherShards asks all other shards for a turn. A program's first turn may
// continue a turn of another program, which may belong to another shard.
func (k *Keeper) searchOtherShards(ctx context.Context, s *shard, turn string) (chain []byte, found, certain bool) {
	var others []int
	for id := range k.config.Partitions {
		if k.config.Partitions[id] != s.partition {
			others = append(others, id)
		}
	}
	k.config.Counters.Stages.Add("searched", 1)
	return k.config.Search(ctx, turn, others)
}
