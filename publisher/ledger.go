package publisher

import (
	"sync"
	"sync/atomic"

	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
)

// Stream is the log stream on which rule files are published.
const Stream = "rules"

// Publication describes one rule file on the log and whether it was accepted.
type Publication struct {
	// Version is the offset of the file's record plus 1.
	Version int64
	// Base is the version that the file was edited from; 0 if there was none.
	Base   int64
	Author string
	// Time is when the file was published, in Unix milliseconds, by the clock of the
	// command that published it.
	Time int64
	// Accepted is true when the file came into force.
	Accepted bool
	// Fault is why the file was not accepted. It is empty if the file was
	// accepted.
	Fault string
}

// maxHistory is the maximum number of publications that a Ledger retains.
const maxHistory = 256

// Ledger holds the rules in force and the recent publications. It is the replay
// hook for the rule stream. The zero value is empty and ready for use.
type Ledger struct {
	// mu serialises changes. Reads use the atomic pointers without the lock.
	mu sync.Mutex
	// current and history point to values that never change after they are stored.
	current atomic.Pointer[parser.Rules]
	history atomic.Pointer[[]Publication]
}

// Rules returns the rules in force. If there are none, it returns the zero Rules,
// which admits no organisation.
func (l *Ledger) Rules() parser.Rules {
	if r := l.current.Load(); r != nil {
		return *r
	}
	return parser.Rules{}
}

// History returns the latest publications, at most maxHistory, oldest first. The
// caller must not modify the slice.
func (l *Ledger) History() []Publication {
	if h := l.history.Load(); h != nil {
		return *h
	}
	return nil
}

// Apply records the publication of a rule file at a log offset and, if the file
// is accepted, activates it. It ignores records of other types.
func (l *Ledger) Apply(offset int64, record *recorder.Record) {
	file := record.GetRules()
	if file == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Version 0 means that there is no file, so versions are offsets plus 1.
	version := offset + 1
	p := Publication{Version: version, Base: file.GetBase(), Author: file.GetAuthor(), Time: file.GetTime()}
	p.Fault = l.accept(version, file)
	p.Accepted = p.Fault == ""
	l.addToHistory(p)
}

// Prune does nothing: rules stay in force after the log has removed their record.
func (l *Ledger) Prune(int64) {}

// Adopt activates a rule file received from another host if its version is newer
// than the version in force. It returns an error if the file is not valid.
func (l *Ledger) Adopt(version int64, text string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.Rules().Version {
		return nil
	}
	rules, err := parser.Parser{}.Parse(text)
	if err != nil {
		return err
	}
	rules = rules.WithVersion(version)
	l.current.Store(&rules)
	return nil
}

// accept activates a file or returns the reason for which the file is rejected.
// The reason is empty if the file is accepted. A file that is not newer than the
// rules in force counts as accepted and changes nothing.
func (l *Ledger) accept(version int64, file *recorder.RuleFile) string {
	current := l.Rules().Version
	if version <= current {
		return ""
	}
	// While this ledger has no rules, the base is not checked, because the log may
	// have removed the file that the base refers to. Accepting the first remaining
	// file is safe: its author had read the rules that were in force then.
	if file.GetBase() != current && current != 0 {
		return "based on another version than the one in force"
	}
	rules, err := parser.Parser{}.Parse(file.GetText())
	if err != nil {
		return err.Error()
	}
	rules = rules.WithVersion(version)
	l.current.Store(&rules)
	return ""
}

// addToHistory stores a copy of the history with p appended, and drops the oldest
// publication when the history is full.
func (l *Ledger) addToHistory(p Publication) {
	old := l.History()
	if len(old) >= maxHistory {
		old = old[1:]
	}
	h := append(append([]Publication(nil), old...), p)
	l.history.Store(&h)
}
