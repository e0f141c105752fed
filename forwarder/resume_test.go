package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

// upstreamOf starts an upstream of a service and a version.
func (f *fixture) upstreamOf(t *testing.T, name, service, version string, scripts ...script) descriptor.Upstream {
	u := f.startUpstream(t, name, scripts...)
	u.Service, u.Version = service, version
	return u
}

// The upstream u0 of version v1 begins the stream and breaks it off after its second event.
func TestInterruptedStreamCutThoughItsVersionServes(t *testing.T) {
	for _, c := range []struct {
		name string
		// first and second are the scripts of u0 and u1, which both run v1.
		first, second []script
		arrived       []string
	}{
		{"the upstream does not run the rest", []script{streamEvents(2), answerNotRun}, []script{streamEvents(0)}, []string{"u0:", "u0:2", "u1:2"}},
		{"the rest is lost before its header", []script{streamEvents(2), closeConnection}, []script{streamEvents(0)}, []string{"u0:", "u0:2", "u1:2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			near := f.upstreamOf(t, "u0", "s", "v1", c.first...)
			far := f.upstreamOf(t, "u1", "s", "v1", c.second...)
			far.DataCentre = "far"
			f.start(t, descriptor.Stream{Resumable: true}, 1, near, far)
			outcome, body := f.serve(t, request())
			arrived, _ := f.received()
			if diff := cmp.Diff([]any{"200", threeEvents, c.arrived}, []any{outcome, body, arrived}); diff != "" {
				t.Errorf("outcome, body, arrivals (-want +got):\n%s", diff)
			}
		})
	}
}

// u0 is full when the stream begins at u1, and has room when u1 crashes.
func TestInterruptedStreamCutThoughFullUpstreamHasRoomAgain(t *testing.T) {
	f := newFixture()
	crash := func(conn net.Conn, r *http.Request) bool {
		f.crash("u1")
		return streamEvents(2)(conn, r)
	}
	near := f.upstreamOf(t, "u0", "s", "v1", answerNotRun, streamEvents(0))
	far := f.upstreamOf(t, "u1", "s", "v1", crash)
	far.DataCentre = "far"
	f.start(t, descriptor.Stream{Resumable: true}, 1, near, far)
	outcome, body := f.serve(t, request())
	arrived, _ := f.received()
	if diff := cmp.Diff([]any{"200", threeEvents, []string{"u0:", "u1:", "u0:2"}}, []any{outcome, body, arrived}); diff != "" {
		t.Errorf("outcome, body, arrivals (-want +got):\n%s", diff)
	}
}

// The only upstream breaks the rest off before its first event, each time.
func TestInterruptedStreamAskedForWithoutEnd(t *testing.T) {
	// The users' rule BUDGET allows a request that crashes upstreams 3 retries.
	const mostRetries = 3
	breaksAtOnce := func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		return false
	}
	f := newFixture()
	f.start(t, descriptor.Stream{Resumable: true}, 1, f.upstreamOf(t, "u0", "s", "v1", streamEvents(2), breaksAtOnce))
	r := request()
	r.Deadline = time.Now().Add(time.Second)
	outcome, _ := f.serve(t, r)
	if arrived, _ := f.received(); len(arrived) > 1+mostRetries {
		t.Errorf("%s after %d requests to the upstream in 1 s, at most %d wanted", outcome, len(arrived), 1+mostRetries)
	}
}

// Each service has an upstream of the version that began the stream.
func TestResumedStreamOfSplitRouteRefused(t *testing.T) {
	const tries = 40
	one, both := []descriptor.Share{{Service: "s", Weight: 1}}, []descriptor.Share{{Service: "s", Weight: 1}, {Service: "x", Weight: 1}}
	for _, c := range []struct {
		name string
		// split is the route's split when the stream begins. Later it is both.
		split    []descriptor.Share
		programs bool
	}{
		{"requests without a program", both, false},
		{"the route is split after the stream has begun", one, true},
		{"programs on a route that stays split", both, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.list = f.list.WithUpstream(f.upstreamOf(t, "s0", "s", "v1", streamEvents(0)), 0, time.Now()).
				WithUpstream(f.upstreamOf(t, "x0", "x", "v1", streamEvents(0)), 1, time.Now())
			split := c.split
			f.startWith(t, func() descriptor.Configuration {
				return descriptor.Configuration{
					Version: 1,
					Routes: []descriptor.Route{{
						Name: "r", Host: "h", Prefix: "/a/", Kind: descriptor.Stream{Resumable: true},
						Timeout: 5 * time.Second, Attempts: 1, Split: split,
					}},
					Services: map[string]descriptor.Service{"s": {Name: "s"}, "x": {Name: "x"}},
				}
			})
			got := make(map[string]int)
			for i := range tries {
				first, again := request(), request()
				first.ID, again.ID = fmt.Sprint("first", i), fmt.Sprint("again", i)
				if c.programs {
					first.Program, again.Program = fmt.Sprint("program", i), fmt.Sprint("program", i)
				}
				split = c.split
				f.serve(t, first)
				f.home.build = (<-f.home.bound).GetBuild()
				again.LastEvent, again.Resumes = "2", first.ID
				split = both
				outcome, _ := f.serve(t, again)
				got[outcome]++
			}
			if diff := cmp.Diff(map[string]int{"200": tries}, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEventsWithoutIDsSentTwice(t *testing.T) {
	unnumbered := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		const piece = "data: d1\n\n"
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		return false
	}
	f := newFixture()
	f.start(t, descriptor.Stream{Resumable: true}, 1, f.upstreamOf(t, "u0", "s", "v1", unnumbered, streamEvents(0)))
	outcome, body := f.serve(t, request())
	if diff := cmp.Diff([]string{"cut cut", "data: d1\n\n"}, []string{outcome, body}); diff != "" {
		t.Errorf("outcome, body (-want +got):\n%s", diff)
	}
}

// u0 restarts under its id as v2 while the list still names v1; u1 runs v1.
func TestInterruptedStreamGoesOnAtRestartedUpstreamThatListIsBehindOf(t *testing.T) {
	f := newFixture()
	asV2 := func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		const piece = "id: 3\ndata: d3\n\n"
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(piece), piece)
		return true
	}
	near := f.upstreamOf(t, "u0", "s", "v1", streamEvents(2), asV2)
	far := f.upstreamOf(t, "u1", "s", "v1", streamEvents(0))
	far.DataCentre = "far"
	f.start(t, descriptor.Stream{Resumable: true}, 1, near, far)
	outcome, body := f.serve(t, request())
	arrived, _ := f.received()
	if diff := cmp.Diff([]any{"200", threeEvents, []string{"u0:", "u1:2"}}, []any{outcome, body, arrived}); diff != "" {
		t.Errorf("outcome, body, arrivals (-want +got):\n%s", diff)
	}
}
