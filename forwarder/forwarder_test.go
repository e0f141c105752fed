package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/refuser"
)

// For each kind of request and each failure of an upstream, the request must reach
// the expected upstreams in the expected order, and the caller must get the expected
// outcome and body.
func TestServe(t *testing.T) {
	idempotent, once := descriptor.Idempotent{}, descriptor.Once{}
	stream, resumable := descriptor.Stream{}, descriptor.Stream{Resumable: true}
	for _, c := range []struct {
		name     string
		kind     descriptor.Kind
		attempts int
		scripts  [][]script
		outcome  string
		body     string
		arrived  []string
	}{
		{"a once request that broke off is not sent again", once, 3, [][]script{{closeConnection}, {closeConnection}}, "lost 502 unknown", "", []string{"u0:"}},
		{"a once response cut short is lost", once, 1, [][]script{{answerShort}}, "lost 502 unknown", "", []string{"u0:"}},
		{"a once request that was not run is sent to another upstream", once, 1, [][]script{{answerNotRun}, {answerOK}}, "200", "ok", []string{"u0:", "u1:"}},
		{"a request that no upstream ran is refused as not run", once, 1, [][]script{{answerNotRun}, {answerNotRun}}, "capacity 503 no", "", []string{"u0:", "u1:"}},
		{"no upstream", once, 1, nil, "capacity 503 no", "", nil},
		{"a request that the second upstream may have run is refused as unknown", once, 1, [][]script{{answerNotRun}, {closeConnection}}, "lost 502 unknown", "", []string{"u0:", "u1:"}},
		{"an error status is passed on", once, 1, [][]script{{answerError}}, "500", "bad", []string{"u0:"}},
		{"an idempotent request is sent again", idempotent, 2, [][]script{{closeConnection}, {answerOK}}, "200", "ok", []string{"u0:", "u1:"}},
		{"an idempotent request whose response is cut short is sent again", idempotent, 2, [][]script{{answerShort}, {answerOK}}, "200", "ok", []string{"u0:", "u1:"}},
		{"an idempotent request is not sent again after its last attempt", idempotent, 1, [][]script{{closeConnection}, {answerOK}}, "lost 502 unknown", "", []string{"u0:"}},
		{"an idempotent request with an error status is sent to another upstream", idempotent, 2, [][]script{{answerError}, {answerOK}}, "200", "ok", []string{"u0:", "u1:"}},
		{"an error status is passed on where the other upstream does not run the request", idempotent, 2, [][]script{{answerError}, {answerNotRun}}, "500", "bad", []string{"u0:", "u1:"}},
		{"an error status is passed on where the other response is lost", idempotent, 2, [][]script{{answerError}, {answerShort}}, "500", "bad", []string{"u0:", "u1:"}},
		{"an error status is passed on after the last attempt", idempotent, 1, [][]script{{answerError}, {answerOK}}, "500", "bad", []string{"u0:"}},
		{"an idempotent request whose response does not begin is sent to another upstream", idempotent, 2, [][]script{{hang}, {answerOK}}, "200", "ok", []string{"u0:", "u1:"}},
		{"a once request is not sent again while its response is late", once, 2, [][]script{{answerLate}, {answerOK}}, "200", "ok", []string{"u0:"}},
		{"a stream", stream, 1, [][]script{{streamEvents(0)}}, "200", threeEvents, []string{"u0:"}},
		{"a stream that broke off before its header", stream, 1, [][]script{{closeConnection}, {streamEvents(0)}}, "lost 502 unknown", "", []string{"u0:"}},
		{"a stream that broke off is cut after a complete event", stream, 1, [][]script{{streamEvents(2)}, {streamEvents(0)}}, "cut cut", twoEvents, []string{"u0:"}},
		{"a resumable stream is resumed after its last event", resumable, 1, [][]script{{streamEvents(2), streamEvents(0)}, {streamEvents(0)}}, "200", threeEvents, []string{"u0:", "u0:2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			var upstreams []descriptor.Upstream
			for i, scripts := range c.scripts {
				u := f.startUpstream(t, fmt.Sprint("u", i), scripts...)
				// The first upstream is preferred because it is in the same data centre.
				if i > 0 {
					u.DataCentre = "far"
				}
				upstreams = append(upstreams, u)
			}
			f.start(t, c.kind, c.attempts, upstreams...)
			outcome, body := f.serve(t, request())
			arrived, _ := f.received()
			got := []any{outcome, body, arrived}
			if diff := cmp.Diff([]any{c.outcome, c.body, c.arrived}, got); diff != "" {
				t.Errorf("outcome, body, arrivals (-want +got):\n%s", diff)
			}
		})
	}
}

// If the caller disconnects before the request is sent, the request reaches no
// upstream.
func TestCallerGoneBeforeSend(t *testing.T) {
	f := newFixture()
	f.start(t, descriptor.Once{}, 1, f.startUpstream(t, "u", answerOK))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var s sink
	o := f.forwarder.Serve(ctx, request(), &s, time.Now())
	arrived, _ := f.received()
	if r, ok := o.(forwarder.Refused); !ok || r.Refusal.Reason != refuser.Gone || len(arrived) > 0 {
		t.Errorf("outcome %v, arrived %v", o, arrived)
	}
}

// The caller disconnects while an upstream has the request, and the upstream does not
// run it. The request must not be sent to another upstream.
func TestCallerLeavesDuringRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	leaves := func(c net.Conn, r *http.Request) bool {
		cancel()
		return answerNotRun(c, r)
	}
	f := newFixture()
	far := f.startUpstream(t, "u1", answerOK)
	far.DataCentre = "far"
	f.start(t, descriptor.Once{}, 1, f.startUpstream(t, "u0", leaves), far)
	var s sink
	o := f.forwarder.Serve(ctx, request(), &s, time.Now())
	arrived, _ := f.received()
	if r, ok := o.(forwarder.Refused); !ok || r.Refusal.Reason != refuser.Gone {
		t.Errorf("outcome %v", o)
	}
	if diff := cmp.Diff([]string{"u0:"}, arrived); diff != "" {
		t.Errorf("arrivals (-want +got):\n%s", diff)
	}
}

// A request whose deadline has passed is refused. The refusal must say whether the
// request may have run: a request that was never sent can't have run.
func TestDeadlineExceeded(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hangUntilReleased := func(net.Conn, *http.Request) bool {
		<-release
		return false
	}
	for name, c := range map[string]struct {
		left time.Duration
		want string
	}{
		"before it was sent": {-time.Millisecond, "late 503 no"},
		"at an upstream":     {50 * time.Millisecond, "timeout 504 unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.start(t, descriptor.Once{}, 1, f.startUpstream(t, "u", hangUntilReleased))
			r := request()
			r.Deadline = time.Now().Add(c.left)
			outcome, _ := f.serve(t, r)
			if diff := cmp.Diff(c.want, outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
