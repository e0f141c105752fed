package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/citronpier/citronpier/messenger"
)

// Find looks for a turn in the requested shards, including shards whose home is
// another host. It looks in memory first and then reads all shards to their ends at the
// same time, so that a shard that can't be read delays no other.
// Certain in the reply lists the shards that have been read and don't have the turn, in
// ascending order. It is empty if the turn is found.
func (k *Keeper) Find(ctx context.Context, r *messenger.FindRequest, now time.Time) *messenger.FindReply {
	shards := make(map[int32]*shard)
	for _, id := range r.GetShards() {
		s, ok := k.openShard(int(id), true, now)
		if !ok {
			continue
		}
		if chain, ok := s.chain(r.GetTurn()); ok {
			return &messenger.FindReply{Found: true, Chain: chain}
		}
		shards[id] = s
	}
	results := make(chan findResult, len(shards))
	for id, s := range shards {
		go func() { results <- s.find(ctx, id, r.GetTurn()) }()
	}
	reply := &messenger.FindReply{}
	for range shards {
		result := <-results
		if result.found {
			return &messenger.FindReply{Found: true, Chain: result.chain}
		}
		if result.read {
			reply.Certain = append(reply.Certain, result.shard)
		}
	}
	slices.Sort(reply.Certain)
	return reply
}

// findResult is the result of the search in one shard.
type findResult struct {
	shard int32
	// read is set if the shard was read to its end.
	read bool
	// found is set if the shard has the turn. chain is the text of the turn and of all
	// turns before it.
	found bool
	chain []byte
}

// find reads the shard with the given number to its end and looks for a turn.
func (s *shard) find(ctx context.Context, id int32, turn string) findResult {
	result := findResult{shard: id}
	if s.isUnavailable() {
		return result
	}
	if err := s.refresh(ctx); err != nil {
		s.logger.Debug().Err(err).Msg("shard not searched")
		return result
	}
	result.read = true
	result.chain, result.found = s.chain(turn)
	return result
}
