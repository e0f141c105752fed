package reporter

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
)

// Verdict says whether a rule held.
type Verdict string

// The verdicts.
const (
	Held     Verdict = "held"
	NotHeld  Verdict = "not held"
	Untested Verdict = "not tested today"
)

// Page is the owner's page of one day.
type Page struct {
	// Day is the date in the deployment's time zone.
	Day string `json:"day"`
	// Well says that every rule that was tested held and nothing was lost.
	Well bool `json:"well"`
	// Summary is the page's first line.
	Summary  string    `json:"summary"`
	Rules    []Line    `json:"rules"`
	Kinds    []Kind    `json:"kinds"`
	Refusals []Refusal `json:"refusals"`
	// Lost names the calls that a person must look at.
	Lost []Lost `json:"lost"`
	// Warning says what the page does not know.
	Warning string `json:"warning,omitempty"`
}

// Line says of one rule whether it held.
type Line struct {
	Rule    string  `json:"rule"`
	Verdict Verdict `json:"verdict"`
	Figure  string  `json:"figure"`
	Asker   string  `json:"asker"`
	Reason  string  `json:"reason"`
}

// Kind is the finished programs of one kind.
type Kind struct {
	Kind     string `json:"kind"`
	Rank     string `json:"rank"`
	Finished int64  `json:"finished"`
	// Median and P95 are latencies in milliseconds.
	Median int64 `json:"median"`
	P95    int64 `json:"p95"`
}

// Refusal counts the refusals for one reason.
type Refusal struct {
	Reason string `json:"reason"`
	Words  string `json:"words"`
	Count  int64  `json:"count"`
}

// Lost is a call whose outcome is unknown.
type Lost struct {
	Key     string `json:"key"`
	Service string `json:"service"`
	Time    string `json:"time"`
}

// Input is what a page is made of.
type Input struct {
	Ledger *Ledger
	Rules  parser.Rules
	// Pending is the present host's own count since its last summary.
	Pending *recorder.Summary
	// LogAge is the time since the log last answered.
	LogAge time.Duration
}

// staleAfter is the age of the log's last answer from which the page warns.
const staleAfter = 10 * time.Second

// Make returns the page of the day that now falls in.
func Make(in Input, now time.Time) Page {
	local := now.In(in.Rules.Location())
	start := time.Date(local.Year(), local.Month(), local.Day(), 0, 0, 0, 0, local.Location())
	t := collect(in.Ledger.between(start, now))
	if in.Pending != nil {
		t.addSummary(in.Pending)
	}
	p := Page{Day: local.Format(time.DateOnly), Kinds: t.kindRows(), Refusals: t.refusalRows()}
	for _, r := range in.Rules.List {
		p.Rules = append(p.Rules, t.line(r))
	}
	for _, l := range t.lost {
		at := time.UnixMilli(l.GetTime()).In(local.Location()).Format(time.TimeOnly)
		p.Lost = append(p.Lost, Lost{Key: l.GetKey(), Service: l.GetService(), Time: at})
	}
	if in.LogAge > staleAfter {
		p.Warning = fmt.Sprintf("The log has not answered for %s; what other hosts did since then is missing here.",
			in.LogAge.Round(time.Second))
	}
	return p.summarised(t)
}

// summarised returns the page with its first line.
func (p Page) summarised(t *totals) Page {
	broken := 0
	for _, l := range p.Rules {
		if l.Verdict == NotHeld {
			broken++
		}
	}
	p.Well = broken == 0 && len(p.Lost) == 0
	switch {
	case !p.Well:
		p.Summary = fmt.Sprintf("Today did not go well: %s broken, %s to look at.",
			plural(broken, "rule was", "rules were"), plural(len(p.Lost), "call", "calls"))
	case t.finished() == 0:
		p.Summary = "Nothing has run today yet."
	default:
		p.Summary = fmt.Sprintf("Today went well: %s finished and every tested rule held.",
			plural(int(t.finished()), "program", "programs"))
	}
	return p
}

func plural(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}

// totals is the sum over the minutes of a page.
type totals struct {
	kinds    map[string]*kindTotal
	refusals map[string]int64
	lost     []*recorder.Lost
}

func collect(minutes []*minuteSummary) *totals {
	t := &totals{kinds: make(map[string]*kindTotal), refusals: make(map[string]int64)}
	for _, m := range minutes {
		for name, k := range m.kinds {
			t.kind(name).add(k.rank, k.finished, k.within, k.latency)
		}
		for reason, n := range m.refusals {
			t.refusals[reason] += n
		}
		t.lost = append(t.lost, m.lost...)
	}
	return t
}

func (t *totals) addSummary(s *recorder.Summary) {
	for _, k := range s.GetKinds() {
		t.kind(k.GetKind()).add(k.GetRank(), k.GetFinished(), k.GetWithin(), decode(k.GetHistogram()))
	}
	for reason, n := range s.GetRefusals() {
		t.refusals[reason] += n
	}
	t.lost = append(t.lost, s.GetLost()...)
}

func (t *totals) kind(name string) *kindTotal {
	k, ok := t.kinds[name]
	if !ok {
		k = newKindTotal("")
		t.kinds[name] = k
	}
	return k
}

func (t *totals) finished() int64 {
	var n int64
	for _, k := range t.kinds {
		n += k.finished
	}
	return n
}

func (t *totals) kindRows() []Kind {
	var rows []Kind
	for name, k := range t.kinds {
		rows = append(rows, Kind{
			Kind: name, Rank: k.rank, Finished: k.finished,
			Median: k.latency.ValueAtQuantile(50), P95: k.latency.ValueAtQuantile(95),
		})
	}
	slices.SortFunc(rows, func(a, b Kind) int { return cmp.Compare(a.Kind, b.Kind) })
	return rows
}

func (t *totals) refusalRows() []Refusal {
	var rows []Refusal
	for reason, n := range t.refusals {
		rows = append(rows, Refusal{Reason: reason, Words: words(refuser.Reason(reason)), Count: n})
	}
	slices.SortFunc(rows, func(a, b Refusal) int { return cmp.Compare(a.Reason, b.Reason) })
	return rows
}
