package reporter_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/reporter"
)

// text is the rule file that all tests use.
const text = `clock Asia/Kolkata # Anil: the owner's day
kind fitter rank urgent budget 10 share 90 within 1s # Meera: ladders
kind dealer budget 10 share 50 within 1s # Meera: weeks
service timer once # Nila: never twice
`

// rules returns the parsed rule file.
func rules(t *testing.T) parser.Rules {
	t.Helper()
	r, err := parser.Parser{}.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// verdicts returns the verdicts of a page's rules, in the order of the rule file.
func verdicts(p reporter.Page) []reporter.Verdict {
	var list []reporter.Verdict
	for _, l := range p.Rules {
		list = append(list, l.Verdict)
	}
	return list
}

// apply takes a reporter's summary and applies it to a ledger as a log record.
func apply(t *testing.T, l *reporter.Ledger, r *reporter.Reporter, at time.Time) {
	t.Helper()
	s, err := r.Take("host-1", at)
	if err != nil || s == nil {
		t.Fatalf("summary %v: %v", s, err)
	}
	l.Apply(0, &recorder.Record{Body: &recorder.Record_Summary{Summary: s}})
}

// A page shows broken rules and lost calls. It includes the counts of this host that are
// not in the log yet, and excludes yesterday in the time zone of the clock rule.
func TestPageNamesBrokenRules(t *testing.T) {
	// This is 00:30 on the fifth in the rule file's time zone, and 19:00 on the fourth
	// in UTC.
	now := time.Date(2026, 12, 4, 19, 0, 0, 0, time.UTC)
	in := rules(t)
	fitter, _ := in.Kind("fitter")
	var ledger reporter.Ledger
	var host reporter.Reporter
	host.Finished(fitter, time.Minute)
	apply(t, &ledger, &host, now.Add(-time.Hour)) // yesterday in the rule file's time zone
	host.Finished(fitter, 200*time.Millisecond)
	host.Finished(fitter, 5*time.Second)
	apply(t, &ledger, &host, now)
	host.Lost("key-1", "timer", now)

	page := reporter.Make(reporter.Input{Ledger: &ledger, Rules: in, Pending: host.Peek("host-1", now)}, now)
	want := []reporter.Verdict{reporter.Held, reporter.NotHeld, reporter.Untested, reporter.NotHeld}
	if diff := cmp.Diff(want, verdicts(page)); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
	summary := "Today did not go well: 2 rules were broken, 1 call to look at."
	if diff := cmp.Diff([]string{"2026-12-05", summary}, []string{page.Day, page.Summary}); diff != "" {
		t.Errorf("page (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]reporter.Lost{{Key: "key-1", Service: "timer", Time: "00:30:00"}}, page.Lost); diff != "" {
		t.Errorf("lost (-want +got):\n%s", diff)
	}
	var html strings.Builder
	if err := reporter.WriteHTML(&html, page); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{summary, "90 in 100 fitter programs finish within 1s", "with key key-1"} {
		if !strings.Contains(html.String(), part) {
			t.Errorf("HTML page does not contain %q", part)
		}
	}
}

// When the log does not reply, the page warns that the data of other hosts is missing.
func TestPageWarnsOfStaleLog(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	page := reporter.Make(reporter.Input{Ledger: &reporter.Ledger{}, Rules: rules(t), LogAge: time.Minute}, now)
	want := "The log has not answered for 1m0s; what other hosts did since then is missing here."
	if diff := cmp.Diff(want, page.Warning); diff != "" {
		t.Errorf("warning (-want +got):\n%s", diff)
	}
}
