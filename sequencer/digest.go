package sequencer

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/tidwall/gjson"
)

// Digest identifies a sequence of messages.
type Digest [sha256.Size]byte

// Block returns a short form of the digest for the cache index.
func (d Digest) Block() uint64 { return binary.LittleEndian.Uint64(d[:8]) }

// Extend returns the digest of the sequence with one message added. It covers
// what a message means and not how it is written: stock clients reorder fields
// and drop empty ones when they send an answer back.
func (d Digest) Extend(message gjson.Result) Digest {
	h := sha256.New()
	_, _ = h.Write(d[:])
	field(h, message.Get("role").String())
	field(h, content(message.Get("content")))
	field(h, message.Get("name").String())
	field(h, message.Get("tool_call_id").String())
	field(h, message.Get("refusal").String())
	message.Get("tool_calls").ForEach(func(_, call gjson.Result) bool {
		field(h, call.Get("id").String())
		field(h, call.Get("function.name").String())
		field(h, call.Get("function.arguments").String())
		return true
	})
	var sum Digest
	h.Sum(sum[:0])
	return sum
}

func content(c gjson.Result) string {
	if c.IsArray() || c.IsObject() {
		return c.Get("@ugly").Raw
	}
	return c.String()
}

func field(h hash.Hash, value string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(value)))
	_, _ = h.Write(size[:])
	_, _ = h.Write([]byte(value))
}

// History is the digest chain of a call's messages.
type History struct {
	// Preceding is the digest of the first messages, as many as were asked for.
	Preceding Digest
	// Presented is the digest of all messages.
	Presented Digest
	// Count is the number of messages.
	Count int64
	// Blocks has one entry for each prefix of the messages, shortest first.
	Blocks []uint64
}

// Chain returns the history of a message array. The first preceding messages
// are those that the presented token covers.
func Chain(messages gjson.Result, preceding int64) History {
	var h History
	messages.ForEach(func(_, m gjson.Result) bool {
		h.Presented = h.Presented.Extend(m)
		h.Count++
		h.Blocks = append(h.Blocks, h.Presented.Block())
		if h.Count == preceding {
			h.Preceding = h.Presented
		}
		return true
	})
	return h
}
