package budgeter

import "github.com/citronpier/citronpier/recorder"

// Entry is what the log says of one program's budget.
type Entry struct {
	// Holder is the only one whose grants are valid. Empty says that the
	// program's opener is.
	Holder string
	// Base is what the holder started from.
	Base int64
	// Ceiling is the highest ceiling that any holder could have spent to.
	Ceiling int64
	// Finished says that the program has ended and can't be claimed.
	Finished bool
	// Offset is the offset of the program's last record.
	Offset int64
}

// Ledger is the budget state that follows from the log's records in offset
// order. Every reader that replays the same records has the same ledger.
// The zero value is an empty ledger.
type Ledger struct {
	entries map[string]Entry
}

// Entry returns what the log says of a program.
func (l *Ledger) Entry(program string) (Entry, bool) {
	e, ok := l.entries[program]
	return e, ok
}

// Len returns the number of programs with records.
func (l *Ledger) Len() int { return len(l.entries) }

// Claim applies a claim.
func (l *Ledger) Claim(offset int64, c *recorder.Claim) {
	e := l.entries[c.GetProgram()]
	if e.Finished {
		return
	}
	base := min(c.GetBudget(), max(c.GetFirst(), e.Ceiling))
	l.put(c.GetProgram(), Entry{
		Holder:  c.GetHolder(),
		Base:    base,
		Ceiling: min(c.GetBudget(), base+max(0, c.GetWant())),
		Offset:  offset,
	})
}

// Grant applies a grant. A grant of a holder that was superseded is void.
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

// Finish ends a program. The entry stays, so that no old token can claim the
// program again, until the log has dropped the program's records.
func (l *Ledger) Finish(offset int64, f *recorder.Finish) {
	e := l.entries[f.GetProgram()]
	e.Finished = true
	e.Offset = offset
	l.put(f.GetProgram(), e)
}

// Prune drops the entries whose last record the log no longer keeps. Their
// programs can't be claimed any more: their tokens are older than the log.
func (l *Ledger) Prune(first int64) {
	for program, e := range l.entries {
		if e.Offset < first {
			delete(l.entries, program)
		}
	}
}

// HeldBy reports whether a holder's grants are valid.
func (e Entry) HeldBy(holder string) bool { return e.Holder == "" || e.Holder == holder }

func (l *Ledger) put(program string, e Entry) {
	if l.entries == nil {
		l.entries = make(map[string]Entry)
	}
	l.entries[program] = e
}

// Apply applies a record at its log offset, if it concerns budgets.
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
