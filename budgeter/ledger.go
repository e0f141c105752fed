package budgeter

import "github.com/citronpier/citronpier/recorder"

// Entry is the budget state of one program according to the records in the log.
type Entry struct {
	// Holder names the only holder whose grants are valid. It is empty before the
	// first claim or grant: the holder is then the host that opened the program.
	Holder string
	// StartSpent is the amount, in tokens, that the holder has to count as spent when it
	// takes the program over.
	StartSpent int64
	// Ceiling is the holder's ceiling, in tokens: the limit for the sum of StartSpent
	// and the tokens that the holder itself spends.
	Ceiling int64
	// Finished is set once the program has ended. The program can't be claimed any more.
	Finished bool
	// Offset is the log offset of the last record that changed the entry.
	Offset int64
}

// Ledger is the budget state of all programs, computed from the log's records in
// offset order. Every reader that replays the same records has the same ledger.
// The zero value is an empty ledger. It is not safe for concurrent use.
type Ledger struct {
	entries map[string]Entry
}

// Entry returns the entry of a program, and false if the log has no record of it.
func (l *Ledger) Entry(program string) (Entry, bool) {
	e, ok := l.entries[program]
	return e, ok
}

// Len returns the number of programs in the ledger.
func (l *Ledger) Len() int { return len(l.entries) }

// Claim applies a record by which a holder takes a program over. The new holder counts
// as spent all tokens that earlier holders could have spent under their ceilings. A
// claim of a finished program is ignored.
func (l *Ledger) Claim(offset int64, c *recorder.Claim) {
	e := l.entries[c.GetProgram()]
	if e.Finished {
		return
	}
	base := min(c.GetBudget(), max(c.GetFirst(), e.Ceiling))
	l.put(c.GetProgram(), Entry{
		Holder:     c.GetHolder(),
		StartSpent: base,
		Ceiling:    min(c.GetBudget(), base+max(0, c.GetWant())),
		Offset:     offset,
	})
}

// Grant applies a record that raises the ceiling of a program's holder. A grant of a
// holder that was superseded, or for a finished program, is ignored.
func (l *Ledger) Grant(offset int64, g *recorder.Grant) {
	e := l.entries[g.GetProgram()]
	if e.Finished || !e.HeldBy(g.GetHolder()) {
		return
	}
	e.Holder = g.GetHolder()
	e.Ceiling = min(g.GetBudget(), max(e.Ceiling, g.GetCeiling()))
	e.Offset = offset
	l.put(g.GetProgram(), e)
}

// Finish applies a record that ends a program. The entry stays until the log has
// dropped the program's records. Until then, a caller with an old signed token
// can't cause a new claim of the program.
func (l *Ledger) Finish(offset int64, f *recorder.Finish) {
	e := l.entries[f.GetProgram()]
	e.Finished = true
	e.Offset = offset
	l.put(f.GetProgram(), e)
}

// Prune drops the entries whose last record is older than first, the first offset
// that the log still has. The programs of these entries can't be claimed any more,
// since the signed tokens of their callers are older than the log.
func (l *Ledger) Prune(first int64) {
	for program, e := range l.entries {
		if e.Offset < first {
			delete(l.entries, program)
		}
	}
}

// HeldBy reports whether the given holder holds the program. If so, the holder's
// grants are valid.
func (e Entry) HeldBy(holder string) bool { return e.Holder == "" || e.Holder == holder }

func (l *Ledger) put(program string, e Entry) {
	if l.entries == nil {
		l.entries = make(map[string]Entry)
	}
	l.entries[program] = e
}

// Apply applies a record at its log offset. Records other than claims, grants and
// finishes are ignored.
func (l *Ledger) Apply(offset int64, record *recorder.Record) {
	switch body := record.GetBody().(type) {
	case *recorder.Record_Claim:
		l.Claim(offset, body.Claim)
	case *recorder.Record_Grant:
		l.Grant(offset, body.Grant)
	case *recorder.Record_Finish:
		l.Finish(offset, body.Finish)
	}
}
