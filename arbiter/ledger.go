package arbiter

import (
	"bytes"

	"github.com/citronpier/citronpier/recorder"
)

// Entry is the state of one idempotency key according to the log's records read so
// far.
type Entry struct {
	// Sender is the id of the only sender that may send the call.
	Sender string
	// Host is the id of the host that the sender runs on.
	Host string
	// Digest is the digest of the request in the winning intent.
	Digest []byte
	// IntentOffset is the log offset of the winning intent. It serves as the fencing
	// token: any later intent for the key has a higher offset.
	IntentOffset int64
	// Outcome is the result of the call as recorded by the sender; nil if no
	// outcome is recorded yet.
	Outcome *recorder.Outcome
	// LastOffset is the log offset of the key's last valid record.
	LastOffset int64
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

// ApplyIntent applies an intent at its log offset. The intent wins if the key is free;
// otherwise it has no effect.
func (l *Ledger) ApplyIntent(offset int64, i *recorder.Intent) {
	if _, taken := l.entries[i.GetKey()]; taken {
		return
	}
	if l.entries == nil {
		l.entries = make(map[string]Entry)
	}
	l.entries[i.GetKey()] = Entry{
		Sender:       i.GetSender(),
		Host:         i.GetHost(),
		Digest:       i.GetDigest(),
		IntentOffset: offset,
		LastOffset:   offset,
	}
}

// ApplyOutcome applies an outcome at its log offset. It has no effect unless it comes
// from the sender that won the key.
func (l *Ledger) ApplyOutcome(offset int64, o *recorder.Outcome) {
	e, ok := l.entries[o.GetKey()]
	if !ok || e.Sender != o.GetSender() {
		return
	}
	e.Outcome = o
	e.LastOffset = offset
	l.entries[o.GetKey()] = e
}

// ApplyRelease frees a key. It has no effect unless it comes from the sender that won
// the key and no outcome is recorded. A sender releases its key only if the call
// provably did not run.
func (l *Ledger) ApplyRelease(r *recorder.Release) {
	e, ok := l.entries[r.GetKey()]
	if ok && e.Sender == r.GetSender() && e.Outcome == nil {
		delete(l.entries, r.GetKey())
	}
}

// Prune drops the keys whose last record is older than first, the oldest offset
// that the log still holds.
func (l *Ledger) Prune(first int64) {
	for key, e := range l.entries {
		if e.LastOffset < first {
			delete(l.entries, key)
		}
	}
}

// Verdict tells what a sender may do with a call that has an idempotency key. It is
// Free, Owned, OwnedByOther, Settled or Conflict.
type Verdict interface{ verdict() }

// Free means that no sender owns the idempotency key. The sender that asked may append
// an intent for it to the log.
type Free struct{}

// Owned means that the asking sender's intent won. The sender may send the call
// once.
type Owned struct {
	// Fence is the fencing token, which is the log offset of the winning intent.
	Fence int64
}

// OwnedByOther means that another sender on the given host owns the key and has recorded
// no outcome yet.
type OwnedByOther struct{ Host string }

// Settled means that the outcome of the call is recorded.
type Settled struct{ Outcome *recorder.Outcome }

// Conflict means that the key was first used for a request with another digest.
type Conflict struct{}

func (Free) verdict()         {}
func (Owned) verdict()        {}
func (OwnedByOther) verdict() {}
func (Settled) verdict()      {}
func (Conflict) verdict()     {}

// Verdict returns what a sender may do with a call that has the given key and request
// digest.
func (l *Ledger) Verdict(key, sender string, digest []byte) Verdict {
	e, ok := l.entries[key]
	switch {
	case !ok:
		return Free{}
	case !bytes.Equal(e.Digest, digest):
		return Conflict{}
	case e.Outcome != nil:
		return Settled{Outcome: e.Outcome}
	case e.Sender == sender:
		return Owned{Fence: e.IntentOffset}
	default:
		return OwnedByOther{Host: e.Host}
	}
}

// Apply applies an intent, outcome or release at its log offset, and ignores other
// records.
func (l *Ledger) Apply(offset int64, record *recorder.Record) {
	switch body := record.GetBody().(type) {
	case *recorder.Record_Intent:
		l.ApplyIntent(offset, body.Intent)
	case *recorder.Record_Outcome:
		l.ApplyOutcome(offset, body.Outcome)
	case *recorder.Record_Release:
		l.ApplyRelease(body.Release)
	}
}
