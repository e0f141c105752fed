package navigator

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
)

// searchTimeout is the time limit of one Search, whose hosts are asked in parallel.
const searchTimeout = 1500 * time.Millisecond

// Search asks the homes of the given shards, in parallel, for a turn. It returns
// the turn's chain, that is, its text and that of all turns before it, and
// whether the turn was found. The result certain is true if the turn was found,
// or if every shard was searched completely and the turn does not exist there.
func (n *Navigator) Search(ctx context.Context, turn string, shards []int) (chain []byte, found, certain bool) {
	searches, ok := n.assignShards(shards, time.Now())
	if !ok {
		return nil, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	replies := make(chan *messenger.FindReply, len(searches))
	for _, s := range searches {
		go func() { replies <- n.searchHost(ctx, s, turn) }()
	}
	searchedShards := 0
	for range searches {
		reply := <-replies
		if reply.GetFound() {
			return reply.GetChain(), true, true
		}
		searchedShards += len(reply.GetCertain())
	}
	return nil, false, searchedShards == len(shards)
}

// hostSearch is a host and the shards that it is asked to search: the host is the
// home of these shards.
type hostSearch struct {
	host   descriptor.Host
	shards []int32
}

// assignShards groups shards by their home, under the home's host id. It returns
// false if a shard has no home because no host is known.
func (n *Navigator) assignShards(shards []int, now time.Time) (map[string]*hostSearch, bool) {
	view := n.view(now)
	searches := make(map[string]*hostSearch)
	for _, s := range shards {
		h, ok := view.Home(shardKey(s), now)
		if !ok {
			return nil, false
		}
		if searches[h.ID] == nil {
			searches[h.ID] = &hostSearch{host: h}
		}
		searches[h.ID].shards = append(searches[h.ID].shards, int32(s))
	}
	return searches, true
}

// searchHost asks one host to search its shards for a turn. If the call fails,
// the reply lists no shard as completely searched.
func (n *Navigator) searchHost(ctx context.Context, s *hostSearch, turn string) *messenger.FindReply {
	reply, err := n.config.Open(s.host).Find(ctx, &messenger.FindRequest{Shards: s.shards, Turn: turn})
	if err != nil {
		n.config.Logger.Info().Err(err).Str("peer", s.host.ID).Str("turn", turn).Msg("search for turn failed at host")
		return &messenger.FindReply{}
	}
	return reply
}
