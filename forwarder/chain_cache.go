package forwarder

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxCachedChains limits the number of chains that are cached on this host. A
	// chain is the text of a turn and of all turns before it. The homes keep
	// their own copies.
	maxCachedChains = 256
	// maxCachedChainBytes limits the size of one cached chain.
	maxCachedChainBytes = 128 << 10
	// defaultChainBytes limits the size of all cached chains if Config.ChainBytes is 0.
	defaultChainBytes = maxCachedChains * maxCachedChainBytes
)

// chainCache caches chains by turn, those used last. It is safe for concurrent use.
type chainCache struct {
	// limit bounds bytes.
	limit int64

	mu     sync.Mutex
	chains *simplelru.LRU[string, []byte]
	// bytes is the size of all chains in the cache.
	bytes int64
}

// newChainCache returns a cache of a number of bytes; 0 means defaultChainBytes.
func newChainCache(limit int64) *chainCache {
	if limit == 0 {
		limit = defaultChainBytes
	}
	c := &chainCache{limit: limit}
	chains, err := simplelru.NewLRU(maxCachedChains, func(_ string, chain []byte) { c.bytes -= int64(len(chain)) })
	if err != nil {
		panic(err) // the size is a positive constant
	}
	c.chains = chains
	return c
}

// Get returns the chain of a turn.
func (c *chainCache) Get(turn string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chains.Get(turn)
}

// Add caches the chain of a turn, and drops those that were not used for the longest time.
func (c *chainCache) Add(turn string, chain []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chains.Remove(turn)
	c.bytes += int64(len(chain))
	c.chains.Add(turn, chain)
	for c.bytes > c.limit {
		c.chains.RemoveOldest()
	}
}

// cacheChain caches the chain of a turn, which is the text of the turn and of all
// turns before it, unless the chain is larger than maxCachedChainBytes.
func (f *Forwarder) cacheChain(turn string, chain []byte) {
	if len(chain) <= maxCachedChainBytes {
		f.chains.Add(turn, chain)
	}
}
