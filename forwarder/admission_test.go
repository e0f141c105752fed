package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/admitter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
)

// overloadedAdmitter returns an Admitter that has seen turns queue for a second.
func overloadedAdmitter(now time.Time) *admitter.Admitter {
	a := &admitter.Admitter{}
	for n := range 20 {
		at := now.Add(time.Duration(n-20) * 50 * time.Millisecond)
		a.ObserveStart("s", 0, true, at.Add(-2*time.Second))
		a.ObserveEnd(admitter.Turn{Service: "s", Route: "r", Took: time.Second, Idle: true}, at.Add(-2*time.Second))
	}
	for n := range 20 {
		at := now.Add(time.Duration(n-20) * 50 * time.Millisecond)
		a.ObserveStart("s", 3*time.Second, false, at)
		a.Decide(admitter.Request{ID: fmt.Sprint("onset", n), Service: "s", Route: "r"}, admitter.Load{InFlight: 4, Slots: 4}, at)
	}
	return a
}

// A program begins though it can't end in time, or a turn of a program that is under way is
// refused.
func TestOverloadRefusesOnlyFirstTurns(t *testing.T) {
	first := request()
	first.Program, first.ProgramDeadline = "p", time.Now().Add(time.Second)
	later := first
	later.Previous = "turn"
	for _, c := range []struct {
		name    string
		request descriptor.Request
		// served is the upstream that has served the program.
		served string
		want   string
		sent   int
	}{
		{"first turn", first, "", "overload 503 no", 0},
		{"later turn", later, "", "200", 1},
		{"first turn of a sub-agent", first, "u", "200", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.home.programUpstream = c.served
			f.admission = overloadedAdmitter(time.Now())
			f.loads = map[uint64]forwarder.UpstreamLoad{xxhash.Sum64String("u"): {InFlight: 4}}
			f.start(t, descriptor.Stream{}, 1, f.startUpstream(t, "u", streamEvents(0)))
			outcome, _ := f.serve(t, c.request)
			arrived, _ := f.received()
			if diff := cmp.Diff([]any{c.want, c.sent}, []any{outcome, len(arrived)}); diff != "" {
				t.Errorf("outcome and requests sent (-want +got):\n%s", diff)
			}
		})
	}
}

// Requests that full upstreams refuse are sent to all others, which keeps an overload up.
func TestRetriesAtFullUpstreamsAreBounded(t *testing.T) {
	const requests, maxRetries = 40, 20
	f := newFixture()
	f.admission = &admitter.Admitter{}
	f.start(t, descriptor.Idempotent{}, 1, f.startUpstream(t, "u1", answerNotRun), f.startUpstream(t, "u2", answerNotRun),
		f.startUpstream(t, "u3", answerNotRun))
	for range requests {
		if got, _ := f.serve(t, request()); got != "capacity 503 no" {
			t.Fatalf("outcome %s", got)
		}
	}
	if arrived, _ := f.received(); len(arrived) > requests+maxRetries || len(arrived) <= requests {
		t.Errorf("%d requests sent for %d, want %d more at most", len(arrived), requests, maxRetries)
	}
}
