package forwarder_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

// settle is the time in which a probe of an upstream in the background ends.
const settle = 100 * time.Millisecond

// repeat serves the same request as several attempts and returns their outcomes.
func (f *fixture) repeat(t *testing.T, attempts int) []string {
	var outcomes []string
	for i := range attempts {
		r := request()
		r.ID = fmt.Sprint("attempt", i)
		outcome, _ := f.serve(t, r)
		outcomes = append(outcomes, outcome)
		time.Sleep(settle)
	}
	return outcomes
}

// startEnding starts the Forwarder with upstreams that each end with their first request.
func (f *fixture) startEnding(t *testing.T, count int, kind descriptor.Kind, attempts int) {
	var upstreams []descriptor.Upstream
	for i := range count {
		name := fmt.Sprint("u", i)
		upstreams = append(upstreams, f.startUpstream(t, name, f.endUpstream(name)))
	}
	f.start(t, kind, attempts, upstreams...)
}

const (
	lost        = "lost 502 unknown"
	quarantined = "quarantine 503 no"
)

func TestLostAnswersOfLivingUpstreamsCountAsCrashes(t *testing.T) {
	f := newFixture()
	f.start(t, descriptor.Once{}, 1, f.startUpstream(t, "a", closeConnection, closeConnection, closeConnection, closeConnection, answerOK))
	if diff := cmp.Diff([]string{lost, lost, lost, lost, "200"}, f.repeat(t, 5)); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

func TestRequestThatEndedThreeUpstreamsReachesAFourth(t *testing.T) {
	f := newFixture()
	f.startEnding(t, 4, descriptor.Once{}, 1)
	if diff := cmp.Diff([]string{lost, lost, lost, quarantined, quarantined}, f.repeat(t, 5)); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// TestRetriesWithinOneAttemptAfterThreeCrashes checks that an attempt that has crashed three
// upstreams is not said to be not run.
func TestRetriesWithinOneAttemptAfterThreeCrashes(t *testing.T) {
	f := newFixture()
	f.startEnding(t, 6, descriptor.Idempotent{}, 2)
	if diff := cmp.Diff([]string{lost, lost, quarantined}, f.repeat(t, 3)); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if arrived, _ := f.received(); len(arrived) > 4 {
		t.Errorf("the request reached %d upstreams", len(arrived))
	}
}

func TestRequestThatSilencedUpstreamsReachesAFourth(t *testing.T) {
	f := newFixture()
	var upstreams []descriptor.Upstream
	for i := range 4 {
		upstreams = append(upstreams, f.startUpstream(t, fmt.Sprint("u", i), hang))
	}
	f.start(t, descriptor.Once{}, 1, upstreams...)
	for range 3 {
		r := request()
		r.Deadline = time.Now().Add(settle)
		if outcome, _ := f.serve(t, r); outcome != "timeout 504 unknown" {
			t.Fatalf("outcome %q", outcome)
		}
		f.forwarder.ConfirmCrashes(time.Now())
		arrived, _ := f.received()
		f.remove(strings.TrimSuffix(arrived[len(arrived)-1], ":"))
		f.forwarder.ConfirmCrashes(time.Now())
	}
	if diff := cmp.Diff([]string{quarantined}, f.repeat(t, 1)); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

func TestLossesAtUpstreamsThatLeaveCountAsCrashes(t *testing.T) {
	f := newFixture()
	var upstreams []descriptor.Upstream
	for i := range 4 {
		upstreams = append(upstreams, f.startUpstream(t, fmt.Sprint("u", i), closeConnection, closeConnection, closeConnection))
	}
	f.start(t, descriptor.Once{}, 1, upstreams...)
	before := f.repeat(t, 3)
	for _, u := range upstreams {
		f.leave(u, time.Now())
	}
	f.forwarder.ConfirmCrashes(time.Now())
	if diff := cmp.Diff([]string{lost, lost, lost, "capacity 503 no"}, append(before, f.repeat(t, 1)...)); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
