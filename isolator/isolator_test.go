package isolator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/isolator"
)

const quarantine = 10 * time.Minute

var start = time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC)

// suspect records a crash that is seen at now, of a request that was sent just before.
func suspect(i *isolator.Isolator, f isolator.Fingerprint, crash int, now time.Time) {
	i.Learn(isolator.Report{Fingerprint: f, Crash: fmt.Sprint(crash), Ran: time.Millisecond}, now)
}

// at returns the time of the n-th of several crashes one after the other.
func at(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

func newIsolator() *isolator.Isolator {
	return isolator.New(isolator.Policy{Crashes: 3, Overlapping: 2, Quarantine: quarantine})
}

func TestCrashingRequestIsRefusedUntilItsQuarantineLapses(t *testing.T) {
	i := newIsolator()
	for n := range 3 {
		if _, ok := i.Verdict("f", start).(isolator.Refused); ok {
			t.Fatalf("refused after %d crashes", n)
		}
		suspect(i, "f", n, at(n))
	}
	want := isolator.Verdict(isolator.Refused{Crashes: 3, Until: at(2).Add(quarantine)})
	if diff := cmp.Diff(want, i.Verdict("f", at(2))); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(isolator.Verdict(isolator.Clear{}), i.Verdict("f", at(3).Add(quarantine))); diff != "" {
		t.Errorf("verdict after the quarantine (-want +got):\n%s", diff)
	}
}

func TestRequestBesideCrashingRequestIsRefused(t *testing.T) {
	i := newIsolator()
	for n := range 4 {
		suspect(i, "crashing", n, at(n))
		if n > 0 {
			suspect(i, "beside", n, at(n))
		}
	}
	if _, ok := i.Verdict("crashing", at(3)).(isolator.Refused); !ok {
		t.Error("the crashing request is not refused")
	}
	if diff := cmp.Diff(isolator.Verdict(isolator.Suspect{}), i.Verdict("beside", at(3))); diff != "" {
		t.Errorf("verdict on the request beside it (-want +got):\n%s", diff)
	}
}

// A record of the store may hold reports that were withdrawn later.
func TestRequestIsRefusedByHostThatMissedTheWithdrawal(t *testing.T) {
	i, started := newIsolator(), newIsolator()
	for n := range 3 {
		suspect(i, "f", n, at(n))
		suspect(started, "f", n, at(n))
	}
	i.Answered("f", at(3))
	for _, r := range i.Reports(10, at(3)) {
		started.Learn(r, at(3))
	}
	if diff := cmp.Diff(isolator.Verdict(isolator.Clear{}), started.Verdict("f", at(3))); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

func TestAnsweredRequestIsRefusedAfterUpstreamsEndedTogether(t *testing.T) {
	i := newIsolator()
	i.Answered("poll", start)
	for n := range 5 {
		suspect(i, "poll", n, at(n))
	}
	if diff := cmp.Diff(isolator.Verdict(isolator.Clear{}), i.Verdict("poll", at(5))); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

func TestFirstRequestsRefusedAfterUpstreamsEndedTogether(t *testing.T) {
	i := newIsolator()
	for n := range 5 {
		suspect(i, "poll", n, start)
	}
	if diff := cmp.Diff(isolator.Verdict(isolator.Suspect{}), i.Verdict("poll", start)); diff != "" {
		t.Errorf("verdict on overlapping requests (-want +got):\n%s", diff)
	}
	suspect(i, "poll", 5, start)
	if _, ok := i.Verdict("poll", start).(isolator.Refused); !ok {
		t.Error("a request that crashed six upstreams at the same time is not refused")
	}
}

// TestReportsInAnyOrder checks that hosts which learn the same reports in any order, and any
// number of times, reach the same verdicts.
func TestReportsInAnyOrder(t *testing.T) {
	fingerprints := []isolator.Fingerprint{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOf(rapid.Custom(func(t *rapid.T) isolator.Report {
			return isolator.Report{
				Fingerprint: rapid.SampledFrom(fingerprints).Draw(t, "fingerprint"),
				Crash:       fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "crash")),
				Withdrawn:   rapid.Bool().Draw(t, "withdrawn"),
			}
		})).Draw(t, "reports")
		first, second := newIsolator(), newIsolator()
		for _, r := range reports {
			first.Learn(r, start)
		}
		for _, r := range append(rapid.Permutation(reports).Draw(t, "order"), reports...) {
			second.Learn(r, start)
		}
		for _, f := range fingerprints {
			if diff := cmp.Diff(first.Verdict(f, start), second.Verdict(f, start)); diff != "" {
				t.Fatalf("verdicts on %s differ:\n%s", f, diff)
			}
		}
	})
}

func TestFingerprintOfRepeatedRequest(t *testing.T) {
	request := descriptor.Request{ID: "1", Method: "POST", Host: "h", Target: "/a/1", Body: []byte("text"), Program: "p"}
	again := request
	again.ID, again.Program, again.LastEvent = "2", "q", "3"
	if diff := cmp.Diff(isolator.NewRequestFingerprint(request), isolator.NewRequestFingerprint(again)); diff != "" {
		t.Errorf("fingerprints of two attempts differ:\n%s", diff)
	}
	for _, other := range []descriptor.Request{
		{Method: "POST", Host: "h", Target: "/a/2", Body: []byte("text")},
		{Method: "POST", Host: "h", Target: "/a/1", Body: []byte("text2")},
		{Method: "POST", Host: "h", Target: "/a/1", Body: []byte("text"), Previous: "t"},
		{Method: "PUT", Host: "h", Target: "/a/1", Body: []byte("text")},
		{Method: "POST", Host: "h", Target: "/a/1", Body: []byte("text"), Header: map[string][]string{"Authorization": {"k"}}},
	} {
		if isolator.NewRequestFingerprint(request) == isolator.NewRequestFingerprint(other) {
			t.Errorf("%+v has the fingerprint of another request", other)
		}
	}
}
