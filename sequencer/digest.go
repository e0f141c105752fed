package sequencer

import (
	"encoding/binary"

	"github.com/tidwall/gjson"
	"github.com/zeebo/blake3"
)

// digestBytes is the length of a digest.
const digestBytes = 32

// Digest identifies a sequence of messages.
type Digest [digestBytes]byte

// Extend returns the digest of the sequence with one message added. It covers
// what a message means and not how it is written: stock clients reorder fields
// and drop empty ones when they send an answer back.
func (d Digest) Extend(message gjson.Result) Digest {
	return d.extend(blake3.New(), message)
}

// extend uses a hasher that the caller may use again: making one costs as much
// as hashing a message.
func (d Digest) extend(h *blake3.Hasher, message gjson.Result) Digest {
	f := fieldsOf(message)
	h.Reset()
	_, _ = h.Write(d[:])
	for _, field := range []gjson.Result{f.role, f.content, f.name, f.toolCallID, f.refusal} {
		write(h, text(field))
	}
	f.toolCalls.ForEach(func(_, call gjson.Result) bool {
		write(h, call.Get("id").String())
		write(h, call.Get("function.name").String())
		write(h, call.Get("function.arguments").String())
		return true
	})
	var sum Digest
	h.Sum(sum[:0])
	return sum
}

// fields are the parts of a message that the digest covers.
type fields struct {
	role, content, name, toolCallID, refusal, toolCalls gjson.Result
}

// fieldsOf finds the parts of a message in one pass.
func fieldsOf(message gjson.Result) fields {
	var f fields
	message.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "role":
			f.role = value
		case "content":
			f.content = value
		case "name":
			f.name = value
		case "tool_call_id":
			f.toolCallID = value
		case "refusal":
			f.refusal = value
		case "tool_calls":
			f.toolCalls = value
		}
		return true
	})
	return f
}

// text returns a field as text. Spaces between the parts of a list mean nothing.
func text(field gjson.Result) string {
	if field.IsArray() || field.IsObject() {
		return field.Get("@ugly").Raw
	}
	return field.String()
}

// write adds a value with its length, so that no two lists of values have the
// same sum.
func write(h *blake3.Hasher, value string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(value)))
	_, _ = h.Write(size[:])
	_, _ = h.WriteString(value)
}

// History is the digest chain of a call's messages.
type History struct {
	// Preceding is the digest of the first messages, as many as were asked for.
	Preceding Digest
	// Presented is the digest of all messages.
	Presented Digest
	// Count is the number of messages.
	Count int64
}

// Chain returns the history of a message array. The first preceding messages
// are those that the presented token covers.
func Chain(messages gjson.Result, preceding int64) History {
	var h History
	hasher := blake3.New()
	messages.ForEach(func(_, m gjson.Result) bool {
		h.Presented = h.Presented.extend(hasher, m)
		h.Count++
		if h.Count == preceding {
			h.Preceding = h.Presented
		}
		return true
	})
	return h
}
