package reporter

import (
	"fmt"
	"time"

	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/refuser"
)

// lineFor returns the page's line about one rule.
func (t *totals) lineFor(r parser.Rule) Line {
	origin := r.Origin()
	l := Line{Asker: origin.Asker, Reason: origin.Reason, Verdict: Untested}
	switch rule := r.(type) {
	case parser.Kind:
		t.kindLine(rule, &l)
	case parser.Organisation:
		l.Rule = fmt.Sprintf("%s may send work", rule.Name)
		l.Figure = "its key is checked on every call"
	case parser.Service:
		t.serviceLine(rule, &l)
	case parser.Floor:
		l.Rule = fmt.Sprintf("Other work keeps %d%% when urgent work floods in", rule.Percent)
		l.Figure = "no figure yet"
	case parser.Limit:
		l.Rule = fmt.Sprintf("%s stays within its limits", rule.Organisation)
		l.Figure = fmt.Sprintf("%d calls refused over all limits", t.refusals[string(refuser.Rate)])
	case parser.Clock:
		l.Rule = fmt.Sprintf("The day ends at midnight in %s", rule.Location)
		l.Verdict = Held
	}
	return l
}

// kindLine sets the text, verdict and figure for a kind rule. The rule of a kind
// without a latency target holds as soon as a program of the kind has finished.
func (t *totals) kindLine(k parser.Kind, l *Line) {
	if k.Refused {
		l.Rule = fmt.Sprintf("No %s programs are run", k.Name)
		l.Verdict = Held
		return
	}
	if k.Within == 0 {
		l.Rule = fmt.Sprintf("%s programs may generate %d tokens", k.Name, k.Budget)
		l.Figure = fmt.Sprintf("%d finished", t.kind(k.Name).finished)
		if t.kind(k.Name).finished > 0 {
			l.Verdict = Held
		}
		return
	}
	l.Rule = fmt.Sprintf("%d in 100 %s programs finish within %s", k.Share, k.Name, k.Within)
	total := t.kind(k.Name)
	if total.finished == 0 {
		l.Figure = "none finished"
		return
	}
	share := float64(total.within) * 100 / float64(total.finished)
	l.Figure = fmt.Sprintf("%.1f in 100 of %d; the slowest took %s", share, total.finished,
		(time.Duration(total.latency.Max()) * time.Millisecond).Round(time.Millisecond))
	l.Verdict = NotHeld
	if total.within*100 >= int64(k.Share)*total.finished {
		l.Verdict = Held
	}
}

// serviceLine sets the text, verdict and figure for a service rule. The rule of an
// at-most-once service counts as broken if the outcome of any call to the service
// is unknown.
func (t *totals) serviceLine(s parser.Service, l *Line) {
	if !s.Once {
		l.Rule = fmt.Sprintf("Calls to %s may be repeated", s.Name)
		l.Figure = "nothing to check"
		return
	}
	l.Rule = fmt.Sprintf("A call to %s runs at most once", s.Name)
	lost := 0
	for _, call := range t.lost {
		if call.GetService() == s.Name {
			lost++
		}
	}
	l.Figure = fmt.Sprintf("%s with an unknown outcome", plural(lost, "call", "calls"))
	l.Verdict = Held
	if lost > 0 {
		l.Verdict = NotHeld
	}
}

// reasonText returns a refusal reason as text for the owner.
func reasonText(r refuser.Reason) string {
	if w, ok := reasonTexts[r]; ok {
		return w
	}
	return "refused: " + string(r)
}

// reasonTexts maps the reasons to text that needs no knowledge of the system. For
// a reason without an entry, the page shows the reason's code.
var reasonTexts = map[refuser.Reason]string{
	refuser.Budget:    "a program had used up its budget",
	refuser.Calls:     "a program had made all its calls",
	refuser.Wall:      "a program had run for too long",
	refuser.Queue:     "too much work was waiting",
	refuser.Rate:      "an organisation sent more than it may",
	refuser.Log:       "the platform's log did not answer",
	refuser.Key:       "the key was wrong",
	refuser.Poison:    "the request had crashed two engines",
	refuser.Upstream:  "no engine or service could take the work",
	refuser.Lost:      "it is not known whether the call ran",
	refuser.Cancelled: "the caller went away or cancelled",
	refuser.Leaving:   "the host was being stopped",
	refuser.History:   "the messages did not match the program",
	refuser.Malformed: "the request was not understood",
	refuser.Kind:      "no rule allows this kind of program",
}
