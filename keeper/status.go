package keeper

import (
	"cmp"
	"slices"
)

// Status is the state of a shard that a host holds.
type Status struct {
	Shard string `json:"shard"`
	// Loaded says that the shard was read to its end.
	Loaded   bool  `json:"loaded"`
	End      int64 `json:"end"`
	Turns    int   `json:"turns"`
	Programs int   `json:"programs"`
	// Waiting is the number of changes that the store does not have yet.
	Waiting int `json:"waiting"`
	// Away says that the partition takes no records though the store answers.
	Away bool `json:"away"`
}

// Status returns the state of the shards that this host holds.
func (k *Keeper) Status() []Status {
	var all []Status
	for _, s := range k.held() {
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
		Waiting: len(s.queue) + len(s.lazy), Away: s.away.shut,
	}
}
