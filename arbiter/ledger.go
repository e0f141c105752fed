package arbiter

import (
	"bytes"

	"github.com/citronpier/citronpier/recorder"
)

// Entry is the state of one idempotency key after the log's records read so far.
type Entry struct {
	// Sender is the id of the only sender that may send the call.
	Sender string
	// Host is the id of the host that the sender runs on.
	Host string
	// Digest is the digest of the request in the winning intent.
	Digest []byte
	// Intent is the log offset of the winning intent. It serves as the fencing
	// token: any later intent for the key has a higher offset.
	Intent int64
	// Outcome is the result of the call as recorded by the sender; nil if none is
	// recorded yet.
	Outcome *recorder.Outcome
	// Offset is the log offset of the key's last valid record.
	Offset int64
}

// Ledger holds the state of all idempotency keys. It is built by applying the log's
// records in offset order, so all hosts arrive at the same state. The zero value is
// an empty ledger. A Ledger must not be used by several goroutines at once.
type Ledger struct {
	entries map[string]Entry
}

// Entry returns the state of a key, or false if the key is free.
func (l *Ledger) Entry(key string) (Entry, bool) {
	e, ok := l.entries[key]
	return e, ok
}

// Len returns the number of keys that are not free.
func (l *Ledger) Len() int { return len(l.entries) }

// Intent applies an intent at its log offset. The intent wins if the key is free;
// otherwise it has no effect.
func (l *Ledger) Intent(offset int64, i *recorder.Intent) {
	if _, taken := l.entries[i.GetKey()]; taken {
		return
	}
	if l.entries == nil {
		l.entries = make(map[string]Entry)
	}
	l.entries[i.GetKey()] = Entry{
		Sender: i.GetSender(),
		Host:   i.GetHost(),
		Digest: i.GetDigest(),
		Intent: offset,
		Offset: offset,
	}
}

// Outcome applies an outcome at its log offset. It has no effect unless it comes
// from the sender that won the key.
func (l *Ledger) Outcome(offset int64, o *recorder.Outcome) {
	e, ok := l.entries[o.GetKey()]
	if !ok || e.Sender != o.GetSender() {
		return
	}
	e.Outcome = o
	e.Offset = offset
	l.entries[o.GetKey()] = e
}

// Release frees a key. It has no effect unless it comes from the sender that won
// the key and no outcome is recorded. A sender releases its key only if the call
// provably did not run.
func (l *Ledger) Release(r *recorder.Release) {
	e, ok := l.entries[r.GetKey()]
	if ok && e.Sender == r.GetSender() && e.Outcome == nil {
		delete(l.entries, r.GetKey())
	}
}

// Prune drops the keys whose last record is older than first, the oldest offset
// that the log still holds.
func (l *Ledger) Prune(first int64) {
	for key, e := range l.entries {
		if e.Offset < first {
			delete(l.entries, key)
		}
	}
}

// Verdict says what a sender may do with a call that has an idempotency key. It is
// Free, Mine, Theirs, Settled or Conflict.
type Verdict interface{ verdict() }

// Free means that no sender owns the key. The asking sender may append an intent.
type Free struct{}

// Mine means that the asking sender's intent won. The sender may send the call
// once.
type Mine struct {
	// Fence is the fencing token, which is the log offset of the winning intent.
	Fence int64
}

// Theirs means that another sender on the given host owns the key and has recorded
// no outcome yet.
type Theirs struct{ Host string }

// Settled means that the outcome of the call is recorded.
type Settled struct{ Outcome *recorder.Outcome }

// Conflict means that the key was first used for a request with another digest.
type Conflict struct{}

func (Free) verdict()     {}
func (Mine) verdict()     {}
func (Theirs) verdict()   {}
func (Settled) verdict()  {}
func (Conflict) verdict() {}

// Judge returns what a sender may do with a call that has the given key and request
// digest.
func (l *Ledger) Judge(key, sender string, digest []byte) Verdict {
	e, ok := l.entries[key]
	switch {
	case !ok:
		return Free{}
	case !bytes.Equal(e.Digest, digest):
		return Conflict{}
	case e.Outcome != nil:
		return Settled{Outcome: e.Outcome}
	case e.Sender == sender:
		return Mine{Fence: e.Intent}
	default:
		return Theirs{Host: e.Host}
	}
}

// Apply applies an intent, outcome or release at its log offset, and ignores other
// records.
func (l *Ledger) Apply(offset int64, record *recorder.Record) {
	switch body := record.GetBody().(type) {
	case *recorder.Record_Intent:
		l.Intent(offset, body.Intent)
	case *recorder.Record_Outcome:
		l.Outcome(offset, body.Outcome)
	case *recorder.Record_Release:
		l.Release(body.Release)
	}
}
