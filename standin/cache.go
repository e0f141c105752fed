package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// prefixCache is an engine's cache of prompt prefixes in limited memory. A
// prefix ends where a message ends.
type prefixCache struct {
	// capacity is the memory in tokens.
	capacity int64
	used     int64
	blocks   map[uint64]*list.Element
	// recent has the block used last in front.
	recent list.List
}

type block struct {
	id      uint64
	tokens  int64
	session string
}

// prefix is one message-wise prefix of a prompt.
type prefix struct {
	id     uint64
	tokens int64
}

// prefixes returns the prefixes of a prompt, shortest first.
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

// tokens estimates the tokens of a text.
func tokens(text string) int64 { return int64(len(text)/4 + 1) }

// lookup returns how many prompt tokens are held.
func (c *prefixCache) lookup(prompt []prefix) int64 {
	var held int64
	for _, p := range prompt {
		e, ok := c.blocks[p.id]
		if !ok {
			return held
		}
		c.recent.MoveToFront(e)
		held += p.tokens
	}
	return held
}

// peek returns how many prompt tokens are held and counts as no use.
func (c *prefixCache) peek(prompt []prefix) int64 {
	var held int64
	for _, p := range prompt {
		if _, ok := c.blocks[p.id]; !ok {
			return held
		}
		held += p.tokens
	}
	return held
}

// hold keeps a prompt and drops what was used longest ago to make room.
func (c *prefixCache) hold(session string, prompt []prefix) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	for _, p := range prompt {
		if e, ok := c.blocks[p.id]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[p.id] = c.recent.PushFront(&block{id: p.id, tokens: p.tokens, session: session})
		c.used += p.tokens
	}
	for c.used > c.capacity && c.recent.Len() > 0 {
		c.drop(c.recent.Back())
	}
}

// evict drops what a session brought in.
func (c *prefixCache) evict(session string) {
	for e := c.recent.Front(); e != nil; {
		next := e.Next()
		if b, ok := e.Value.(*block); ok && b.session == session {
			c.drop(e)
		}
		e = next
	}
}

func (c *prefixCache) drop(e *list.Element) {
	b, ok := c.recent.Remove(e).(*block)
	if !ok {
		return
	}
	c.used -= b.tokens
	delete(c.blocks, b.id)
}
