package forwarder_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/navigator"
)

// largeTurn returns a turn with an input of some size that has some time.
func largeTurn(size int, left time.Duration) descriptor.Request {
	r := turnRequest().WithBody([]byte(strings.Repeat("x", size)))
	r.Deadline = time.Now().Add(left)
	return r
}

// Large turns that the store doesn't record in time are run, paid for and cut, each of them.
func TestLargeTurnIsRunThoughOneAsLargeWasNotRecorded(t *testing.T) {
	const size = 300 << 10
	f := newFixture()
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	f.home.setEndErr(&navigator.NoHomeError{Cause: io.ErrUnexpectedEOF})
	var got []string
	play := func(r descriptor.Request) {
		outcome, _ := f.serve(t, r)
		got = append(got, outcome)
	}
	play(largeTurn(size, 400*time.Millisecond))
	play(largeTurn(size, 400*time.Millisecond))
	play(largeTurn(2*size, 300*time.Millisecond))
	f.home.setEndErr(nil)
	play(largeTurn(size, 3*time.Second))
	play(largeTurn(size, 400*time.Millisecond))
	want := []string{"cut timeout", "log 503 no", "log 503 no", "200", "200"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("first, again, larger, with more time, and after one as large was recorded (-want +got):\n%s", diff)
	}
}

// A turn that had the time for a slow record has turns with less time run and cut again.
func TestLargeTurnIsRunAfterOneWithMoreTimeWasRecorded(t *testing.T) {
	f := newFixture()
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	f.home.setEndErr(&navigator.NoHomeError{Cause: io.ErrUnexpectedEOF})
	first, _ := f.serve(t, largeTurn(300<<10, 300*time.Millisecond))
	f.home.setEndErr(nil)
	f.home.recordTime = 600 * time.Millisecond
	slow, _ := f.serve(t, largeTurn(300<<10, 3*time.Second))
	again, _ := f.serve(t, largeTurn(300<<10, 300*time.Millisecond))
	if diff := cmp.Diff([]string{"cut timeout", "200", "log 503 no"}, []string{first, slow, again}); diff != "" {
		t.Errorf("first, with more time, and as the first (-want +got):\n%s", diff)
	}
}

// A small turn is refused because a large one was not recorded.
func TestSmallTurnIsRefusedAfterLargeOneWasNotRecorded(t *testing.T) {
	f := newFixture()
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	f.home.setEndErr(&navigator.NoHomeError{Cause: io.ErrUnexpectedEOF})
	first, _ := f.serve(t, largeTurn(300<<10, 300*time.Millisecond))
	f.home.setEndErr(nil)
	var got []string
	for _, size := range []int{10, 200 << 10, 260 << 10} {
		outcome, _ := f.serve(t, largeTurn(size, 300*time.Millisecond))
		got = append(got, outcome)
	}
	if diff := cmp.Diff([]string{"200", "200", "200"}, got); diff != "" {
		t.Errorf("smaller turns after %q (-want +got):\n%s", first, diff)
	}
}

// A turn that no home can record is run each time that it is sent.
func TestTurnThatNoHomeCanRecordIsRunAgain(t *testing.T) {
	f := newFixture()
	f.home.unrecordable = true
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	var got []string
	for _, left := range []time.Duration{time.Second, 4 * time.Second} {
		outcome, _ := f.serve(t, largeTurn(300<<10, left))
		got = append(got, outcome)
	}
	if diff := cmp.Diff([]string{"cut cut", "log 503 no"}, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// One caller that leaves early has the large turns of others refused.
func TestLargeTurnIsRefusedAfterCallerLeft(t *testing.T) {
	f := newFixture()
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	f.home.setEndErr(&navigator.NoHomeError{Cause: io.ErrUnexpectedEOF})
	leaving, cancel := context.WithCancel(t.Context())
	time.AfterFunc(300*time.Millisecond, cancel)
	f.forwarder.Serve(leaving, largeTurn(300<<10, 2*time.Second), &sink{}, time.Now())
	f.home.setEndErr(nil)
	outcome, _ := f.serve(t, largeTurn(300<<10, time.Second))
	if diff := cmp.Diff("200", outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}
