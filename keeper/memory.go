package keeper

// otherChainsDivisor sets the part of Config.MemoryBytes that the cached chains of other shards may
// take in one shard: an eighth.
const otherChainsDivisor = 8

// measure measures the texts of turns in memory, if they are bounded.
func (k *Keeper) measure() {
	if k.config.MemoryBytes > 0 {
		_, bytes := k.Size()
		k.textBytes.Store(bytes)
	}
}

// isFull reports whether the texts of turns in memory exceed their bound.
func (k *Keeper) isFull() bool {
	return k.config.MemoryBytes > 0 && k.textBytes.Load() > k.config.MemoryBytes
}

// makeRoomForChain drops the cached chains of other shards if there is no room for one more. The
// chains can be found in their own shards again. The caller holds mu.
func (s *shard) makeRoomForChain(bytes int) {
	limit := s.keeper.config.MemoryBytes / otherChainsDivisor
	if limit == 0 {
		return
	}
	held := int64(bytes)
	for _, chain := range s.otherChains {
		held += int64(len(chain))
	}
	if held > limit {
		clear(s.otherChains)
	}
}
