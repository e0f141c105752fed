package keeper

import (
	"cmp"
	"slices"
)

// Status describes a shard that a host has in memory.
type Status struct {
	Shard string `json:"shard"`
	// Loaded is set once the shard's partition has been read to its end.
	Loaded bool `json:"loaded"`
	// End is the offset of the first record that is not applied yet.
	End      int64 `json:"end"`
	Turns    int   `json:"turns"`
	Programs int   `json:"programs"`
	// Waiting is the number of changes that are not in the store yet.
	Waiting int `json:"waiting"`
	// Unavailable is set while the partition accepts no appends although the rest of the
	// store answers.
	Unavailable bool `json:"away"`
}

// Status returns the state of the shards in memory, ordered by name.
func (k *Keeper) Status() []Status {
	var all []Status
	for _, s := range k.openShards() {
		all = append(all, s.status())
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Shard, b.Shard) })
	return all
}

func (s *shard) status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Shard: s.partition.String(), Loaded: s.loaded, End: s.end, Turns: s.tree.Len(), Programs: len(s.accounts),
		Waiting: len(s.queue) + len(s.deferred), Unavailable: s.unavailable.value,
	}
}
