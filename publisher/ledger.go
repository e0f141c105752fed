package publisher

import (
	"sync"
	"sync/atomic"

	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
)

// Stream is the log stream that rule files are published on.
const Stream = "rules"

// Publication is one rule file on the log.
type Publication struct {
	Version  int64
	Base     int64
	Author   string
	Time     int64
	Accepted bool
	// Fault says why the file was not accepted.
	Fault string
}

// historyLength is the number of publications remembered.
const historyLength = 256

// Ledger holds the rule file in force. The zero value has none.
type Ledger struct {
	// mu orders changes; queries need no lock.
	mu      sync.Mutex
	current atomic.Pointer[parser.Rules]
	history atomic.Pointer[[]Publication]
}

// Rules returns the rules in force. Without any, the zero Rules admits no one.
func (l *Ledger) Rules() parser.Rules {
	if r := l.current.Load(); r != nil {
		return *r
	}
	return parser.Rules{}
}

// History returns the publications read so far, oldest first.
func (l *Ledger) History() []Publication {
	if h := l.history.Load(); h != nil {
		return *h
	}
	return nil
}

// Apply applies a rule file that was read at a log offset.
func (l *Ledger) Apply(offset int64, record *recorder.Record) {
	file := record.GetRules()
	if file == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Version 0 stands for no file, so versions are offsets counted from 1.
	version := offset + 1
	p := Publication{Version: version, Base: file.GetBase(), Author: file.GetAuthor(), Time: file.GetTime()}
	p.Fault = l.accept(version, file)
	p.Accepted = p.Fault == ""
	l.remember(p)
}

// Prune does nothing: the rules in force stay in force after the log has
// dropped their record.
func (l *Ledger) Prune(int64) {}

// Adopt takes a rule file over from another host, where it is newer.
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

func (l *Ledger) accept(version int64, file *recorder.RuleFile) string {
	now := l.Rules().Version
	if version <= now {
		return ""
	}
	// A reader that starts after the log has dropped earlier records takes
	// the first file it meets: its writer read the rules that it re-published.
	if file.GetBase() != now && now != 0 {
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

func (l *Ledger) remember(p Publication) {
	old := l.History()
	if len(old) >= historyLength {
		old = old[1:]
	}
	h := append(append([]Publication(nil), old...), p)
	l.history.Store(&h)
}
