package sequencer

import (
	"encoding/binary"

	"github.com/tidwall/gjson"
	"github.com/zeebo/blake3"
)

// digestBytes is the length of a BLAKE3 digest.
const digestBytes = 32

// Digest identifies a sequence of messages: each message is hashed together with
// the digest of the messages before it. The zero value stands for no messages.
type Digest [digestBytes]byte

// Extend returns the digest of the sequence with one message added. It covers the
// values of a message's fields, but not the JSON encoding of the fields, because
// common client libraries reorder fields and drop empty fields when they send an
// answer back as part of the next call.
func (d Digest) Extend(message gjson.Result) Digest {
	return d.extend(blake3.New(), message)
}

// extend is Extend with a hasher that the caller can reuse, because allocating a
// hasher takes as long as hashing a message.
func (d Digest) extend(h *blake3.Hasher, message gjson.Result) Digest {
	f := parseFields(message)
	h.Reset()
	_, _ = h.Write(d[:])
	for _, field := range []gjson.Result{f.role, f.content, f.name, f.toolCallID, f.refusal} {
		writeWithLength(h, fieldText(field))
	}
	f.toolCalls.ForEach(func(_, call gjson.Result) bool {
		writeWithLength(h, call.Get("id").String())
		writeWithLength(h, call.Get("function.name").String())
		writeWithLength(h, call.Get("function.arguments").String())
		return true
	})
	var sum Digest
	h.Sum(sum[:0])
	return sum
}

// fields holds the fields of a message that the digest covers.
type fields struct {
	role, content, name, toolCallID, refusal, toolCalls gjson.Result
}

// parseFields finds the fields of a message in one pass.
func parseFields(message gjson.Result) fields {
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

// fieldText returns the value of a field as text. Arrays and objects are returned
// as JSON without white space, which has no meaning there.
func fieldText(field gjson.Result) string {
	if field.IsArray() || field.IsObject() {
		return field.Get("@ugly").Raw
	}
	return field.String()
}

// writeWithLength hashes a value prefixed with its length. Without the prefix,
// lists such as "ab", "c" and "a", "bc" would have the same digest.
func writeWithLength(h *blake3.Hasher, value string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(value)))
	_, _ = h.Write(size[:])
	_, _ = h.WriteString(value)
}

// History holds the digests of a call's messages.
type History struct {
	// CoveredDigest is the digest of the call's first messages, up to the number of
	// messages that the call's token covers. It equals the token's digest if these
	// messages are unchanged.
	CoveredDigest Digest
	// FullDigest is the digest of all messages of the call.
	FullDigest Digest
	// Count is the number of messages of the call.
	Count int64
}

// Chain returns the history of a JSON array of messages. The parameter covered is
// the number of messages, counted from the first, that the presented token covers.
// If the array has fewer messages, History.CoveredDigest is zero.
func Chain(messages gjson.Result, covered int64) History {
	var h History
	hasher := blake3.New()
	messages.ForEach(func(_, m gjson.Result) bool {
		h.FullDigest = h.FullDigest.extend(hasher, m)
		h.Count++
		if h.Count == covered {
			h.CoveredDigest = h.FullDigest
		}
		return true
	})
	return h
}
