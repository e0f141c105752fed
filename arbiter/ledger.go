package arbiter

import (
	"bytes"

	"github.com/citronpier/citronpier/recorder"
)

// Entry is what the log says of one key.
type Entry struct {
	// Sender is the only one that may send the call.
	Sender string
	// Host is the sender's host.
	Host string
	// Digest identifies the request that the key was first used for.
	Digest []byte
	// Intent is the offset of the winning intent. It serves as the fencing
	// number: a later intent for the key has a higher one.
	Intent int64
	// Outcome is the recorded result; nil while there is none.
	Outcome *recorder.Outcome
	// Offset is the offset of the key's last record.
	Offset int64
}

// Ledger is the state of all keys that follows from the log's records in
// offset order. The zero value is an empty ledger.
type Ledger struct {
	entries map[string]Entry
}

// Entry returns what the log says of a key.
func (l *Ledger) Entry(key string) (Entry, bool) {
	e, ok := l.entries[key]
	return e, ok
}

// Len returns the number of keys with records.
func (l *Ledger) Len() int { return len(l.entries) }

// Intent applies an intent. It wins where the key is free.
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

// Outcome applies the result that the sender of a key recorded.
func (l *Ledger) Outcome(offset int64, o *recorder.Outcome) {
	e, ok := l.entries[o.GetKey()]
	if !ok || e.Sender != o.GetSender() {
		return
	}
	e.Outcome = o
	e.Offset = offset
	l.entries[o.GetKey()] = e
}

// Release frees a key whose sender never sent the call.
func (l *Ledger) Release(r *recorder.Release) {
	e, ok := l.entries[r.GetKey()]
	if ok && e.Sender == r.GetSender() && e.Outcome == nil {
		delete(l.entries, r.GetKey())
	}
}

// Prune drops the keys whose last record the log no longer keeps.
func (l *Ledger) Prune(first int64) {
	for key, e := range l.entries {
		if e.Offset < first {
			delete(l.entries, key)
		}
	}
}

// Verdict says what a host may do with a keyed call.
type Verdict interface{ verdict() }

// Free says that no intent stands for the key.
type Free struct{}

// Mine says that the asking sender won and may send the call, once.
type Mine struct {
	// Fence is the fencing number.
	Fence int64
}

// Theirs says that another sender won and has recorded no outcome.
type Theirs struct{ Host string }

// Settled says that the outcome is recorded.
type Settled struct{ Outcome *recorder.Outcome }

// Conflict says that the key was used for a different request.
type Conflict struct{}

func (Free) verdict()     {}
func (Mine) verdict()     {}
func (Theirs) verdict()   {}
func (Settled) verdict()  {}
func (Conflict) verdict() {}

// Judge returns what a sender may do with a call of the given digest.
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

// Apply applies a record at its log offset, if it concerns keys.
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
