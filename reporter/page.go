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

// Verdict states whether a rule held on the page's day.
type Verdict string

// The verdicts. A rule is Untested if nothing happened that could break it, or if the
// page has no figure for it.
const (
	Held     Verdict = "held"
	NotHeld  Verdict = "not held"
	Untested Verdict = "not tested today"
)

// Page is the content of the owner's page for one day. The owner runs the
// deployment; the page avoids technical terms.
type Page struct {
	// Day is the date, as 2006-01-02, in the deployment's time zone.
	Day string `json:"day"`
	// Well is true if no rule was broken and Lost is empty.
	Well bool `json:"well"`
	// Summary is the page's headline.
	Summary  string    `json:"summary"`
	Rules    []Line    `json:"rules"`
	Kinds    []Kind    `json:"kinds"`
	Refusals []Refusal `json:"refusals"`
	// Lost lists the calls whose outcome is unknown, which a person must check.
	Lost []Lost `json:"lost"`
	// Warning states which data may be missing from the page. It is empty if all
	// data is present.
	Warning string `json:"warning,omitempty"`
}

// Line is the page's line about one rule.
type Line struct {
	// Rule is the rule as a sentence.
	Rule    string  `json:"rule"`
	Verdict Verdict `json:"verdict"`
	// Figure is the measurement behind the verdict, as text.
	Figure string `json:"figure"`
	// Asker is who asked for the rule. Reason is why the rule was asked for.
	Asker  string `json:"asker"`
	Reason string `json:"reason"`
}

// Kind summarises the finished programs of one kind.
type Kind struct {
	Kind     string `json:"kind"`
	Rank     string `json:"rank"`
	Finished int64  `json:"finished"`
	// Median and P95 are percentiles of the durations of the programs from start to
	// end, in milliseconds.
	Median int64 `json:"median"`
	P95    int64 `json:"p95"`
}

// Refusal counts the refused calls with one reason.
type Refusal struct {
	// Reason is a refuser.Reason. Words explains the reason in plain language.
	Reason string `json:"reason"`
	Words  string `json:"words"`
	Count  int64  `json:"count"`
}

// Lost is a call whose outcome is unknown.
type Lost struct {
	// Key is the call's idempotency key; it may be empty.
	Key     string `json:"key"`
	Service string `json:"service"`
	// Time is the time of day, as 15:04:05, in the deployment's time zone.
	Time string `json:"time"`
}

// Input holds the data for a page.
type Input struct {
	Ledger *Ledger
	Rules  parser.Rules
	// Pending is what this host has counted since its last summary in the log. It may
	// be nil.
	Pending *recorder.Summary
	// LogAge is the time since the log's last reply to this host.
	LogAge time.Duration
}

// staleAfter is the age of the log's last reply above which the page has a warning.
const staleAfter = 10 * time.Second

// Make returns the page for the day of now in the deployment's time zone, from
// midnight to now.
func Make(in Input, now time.Time) Page {
	local := now.In(in.Rules.Location())
	start := time.Date(local.Year(), local.Month(), local.Day(), 0, 0, 0, 0, local.Location())
	t := sumMinutes(in.Ledger.minutesBetween(start, now))
	if in.Pending != nil {
		t.addSummary(in.Pending)
	}
	p := Page{Day: local.Format(time.DateOnly), Kinds: t.kindRows(), Refusals: t.refusalRows()}
	for _, r := range in.Rules.List {
		p.Rules = append(p.Rules, t.lineFor(r))
	}
	for _, l := range t.lost {
		at := time.UnixMilli(l.GetTime()).In(local.Location()).Format(time.TimeOnly)
		p.Lost = append(p.Lost, Lost{Key: l.GetKey(), Service: l.GetService(), Time: at})
	}
	if in.LogAge > staleAfter {
		p.Warning = fmt.Sprintf("The log has not answered for %s; what other hosts did since then is missing here.",
			in.LogAge.Round(time.Second))
	}
	return p.withSummary(t)
}

// withSummary returns a copy of the page with Well and Summary set.
func (p Page) withSummary(t *totals) Page {
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

// plural returns n with the singular or the plural of a noun.
func plural(n int, singular, pluralForm string) string {
	if n == 1 {
		return "1 " + singular
	}
	return fmt.Sprintf("%d %s", n, pluralForm)
}

// totals sums the summaries of a page's minutes.
type totals struct {
	kinds    map[string]*kindTotal
	refusals map[string]int64
	lost     []*recorder.Lost
}

// sumMinutes sums the summaries of the given minutes.
func sumMinutes(minutes []*minuteSummary) *totals {
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

// addSummary adds a summary that is not in the log yet.
func (t *totals) addSummary(s *recorder.Summary) {
	for _, k := range s.GetKinds() {
		t.kind(k.GetKind()).add(k.GetRank(), k.GetFinished(), k.GetWithin(), decodeHistogram(k.GetHistogram()))
	}
	for reason, n := range s.GetRefusals() {
		t.refusals[reason] += n
	}
	t.lost = append(t.lost, s.GetLost()...)
}

// kind returns the total for a program kind, and creates it if there is none.
func (t *totals) kind(name string) *kindTotal {
	k, ok := t.kinds[name]
	if !ok {
		k = newKindTotal("")
		t.kinds[name] = k
	}
	return k
}

// finished returns the number of finished programs of all kinds.
func (t *totals) finished() int64 {
	var n int64
	for _, k := range t.kinds {
		n += k.finished
	}
	return n
}

// kindRows returns the page's rows about program kinds, in order of their names.
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

// refusalRows returns the page's rows about refusals, in order of the reasons.
func (t *totals) refusalRows() []Refusal {
	var rows []Refusal
	for reason, n := range t.refusals {
		rows = append(rows, Refusal{Reason: reason, Words: reasonText(refuser.Reason(reason)), Count: n})
	}
	slices.SortFunc(rows, func(a, b Refusal) int { return cmp.Compare(a.Reason, b.Reason) })
	return rows
}
