package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// prefixCache is an engine's cache of prompt prefixes. When it is full, it
// evicts the least recently used blocks. Only whole messages are cached.
type prefixCache struct {
	// capacity and used are in tokens.
	capacity int64
	used     int64
	// blocks maps the id of a prefix to its element in lru.
	blocks map[uint64]*list.Element
	// lru has the most recently used block at the front.
	lru list.List
}

// block is the cached state of one message. It is valid only for a prompt that
// begins with the same messages, up to and including this message.
type block struct {
	// id is the hash of all messages up to and including this message.
	id     uint64
	tokens int64
	// session is the session that inserted the block.
	session string
}

// prefix is a prompt up to the end of one of its messages.
type prefix struct {
	// id is the hash of all messages of the prefix.
	id uint64
	// tokens is the number of tokens in the last message of the prefix.
	tokens int64
}

// prefixes returns a prefix for each message of a prompt, shortest first.
func prefixes(messages gjson.Result) []prefix {
	var all []prefix
	var d xxhash.Digest
	d.Reset()
	messages.ForEach(func(_, m gjson.Result) bool {
		text := m.Get("content").String()
		_, _ = d.WriteString(m.Get("role").String())
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(text)
		_, _ = d.WriteString("\x00")
		all = append(all, prefix{id: d.Sum64(), tokens: tokens(text)})
		return true
	})
	return all
}

// tokens estimates the number of tokens in a text, at four bytes a token.
func tokens(text string) int64 { return int64(len(text)/4 + 1) }

// lookup returns the number of tokens in the longest cached prefix of a prompt,
// and marks its blocks as recently used.
func (c *prefixCache) lookup(prompt []prefix) int64 {
	var cached int64
	for _, p := range prompt {
		e, ok := c.blocks[p.id]
		if !ok {
			return cached
		}
		c.lru.MoveToFront(e)
		cached += p.tokens
	}
	return cached
}

// peek returns the number of tokens in the longest cached prefix of a prompt,
// without marking its blocks as recently used.
func (c *prefixCache) peek(prompt []prefix) int64 {
	var cached int64
	for _, p := range prompt {
		if _, ok := c.blocks[p.id]; !ok {
			return cached
		}
		cached += p.tokens
	}
	return cached
}

// insert caches all blocks of a prompt and then evicts the least recently used
// blocks until the cache fits its capacity.
func (c *prefixCache) insert(session string, prompt []prefix) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	for _, p := range prompt {
		if e, ok := c.blocks[p.id]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[p.id] = c.lru.PushFront(&block{id: p.id, tokens: p.tokens, session: session})
		c.used += p.tokens
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		c.remove(c.lru.Back())
	}
}

// evict removes the blocks that a session inserted.
func (c *prefixCache) evict(session string) {
	for e := c.lru.Front(); e != nil; {
		next := e.Next()
		if b, ok := e.Value.(*block); ok && b.session == session {
			c.remove(e)
		}
		e = next
	}
}

func (c *prefixCache) remove(e *list.Element) {
	b, ok := c.lru.Remove(e).(*block)
	if !ok {
		return
	}
	c.used -= b.tokens
	delete(c.blocks, b.id)
}
