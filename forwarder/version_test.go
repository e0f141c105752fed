package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

const (
	twoEvents   = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"
	threeEvents = twoEvents + "id: 3\ndata: d3\n\n"
)

// The upstream u0 of version v1 breaks a stream off after its second event.
func TestInterruptedStreamJoinedFromTwoVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail is what happens to u0 when it breaks the stream off.
		fail func(f *fixture, name string)
		// versions are the versions of u1, u2 and so on.
		versions []string
		outcome  string
		body     string
		arrived  []string
	}{
		{"crash, no upstream of the version is left", (*fixture).crash, []string{"v2"}, "cut cut", twoEvents, []string{"u0:"}},
		{"crash, an upstream of the version is left", (*fixture).crash, []string{"v2", "v1"}, "200", threeEvents, []string{"u0:", "u2:2"}},
		{"removal, an upstream of the version is left", (*fixture).remove, []string{"v2", "v1"}, "200", threeEvents, []string{"u0:", "u2:2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			breakAndFail := func(conn net.Conn, r *http.Request) bool {
				c.fail(f, "u0")
				return streamEvents(2)(conn, r)
			}
			first := f.startUpstream(t, "u0", breakAndFail)
			first.Version = "v1"
			upstreams := []descriptor.Upstream{first}
			for i, version := range c.versions {
				u := f.startUpstream(t, fmt.Sprint("u", i+1), streamEvents(0))
				u.Version = version
				// The first upstream is preferred because it is in the same data centre.
				u.DataCentre = "far"
				upstreams = append(upstreams, u)
			}
			f.start(t, descriptor.Stream{Resumable: true}, 1, upstreams...)
			outcome, body := f.serve(t, request())
			arrived, _ := f.received()
			got := []any{outcome, body, arrived}
			if diff := cmp.Diff([]any{c.outcome, c.body, c.arrived}, got); diff != "" {
				t.Errorf("outcome, body, arrivals (-want +got):\n%s", diff)
			}
		})
	}
}

// A caller resumes a stream after its second event. u0 of version v2 is preferred, because
// it is in the same data centre; u1 has version v1.
func TestCallerResumedStreamJoinedFromTwoVersions(t *testing.T) {
	v1 := &messenger.Build{Service: "s", Version: "v1"}
	for _, c := range []struct {
		name    string
		resumes string
		// verdict and build are the home's reply.
		verdict messenger.BeginReply_Verdict
		build   *messenger.Build
		outcome string
		arrived []string
	}{
		{"the version serves", "first", messenger.BeginReply_RESERVED, v1, "200", []string{"u1:2"}},
		{"the version has left", "first", messenger.BeginReply_RESERVED, &messenger.Build{Service: "s", Version: "v0"}, "resume 503 no", nil},
		{"another service began the stream", "first", messenger.BeginReply_RESERVED, &messenger.Build{Service: "x", Version: "v1"}, "resume 503 no", nil},
		{"the home does not know the version", "first", messenger.BeginReply_UNBOUND, nil, "resume 503 no", nil},
		{"the home is of an earlier release and names no version", "first", messenger.BeginReply_RESERVED, nil, "resume 503 no", nil},
		{"the caller does not name the first attempt", "", messenger.BeginReply_RESERVED, v1, "resume 503 no", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.home.verdict, f.home.build = c.verdict, c.build
			near := f.startUpstream(t, "u0", streamEvents(0))
			near.Version = "v2"
			far := f.startUpstream(t, "u1", streamEvents(0))
			far.Version, far.DataCentre = "v1", "far"
			f.start(t, descriptor.Stream{Resumable: true}, 1, near, far)
			r := request()
			r.LastEvent, r.Resumes = "2", c.resumes
			outcome, _ := f.serve(t, r)
			arrived, _ := f.received()
			if diff := cmp.Diff([]any{c.outcome, c.arrived}, []any{outcome, arrived}); diff != "" {
				t.Errorf("outcome, arrivals (-want +got):\n%s", diff)
			}
			if len(f.home.bound) > 0 {
				t.Error("the resuming attempt was bound like the beginning of a stream")
			}
		})
	}
}

func TestVersionOfBegunStreamNotToldToHome(t *testing.T) {
	f := newFixture()
	u := f.startUpstream(t, "u", streamEvents(0))
	u.Version = "v1"
	f.start(t, descriptor.Stream{Resumable: true}, 1, u)
	f.serve(t, request())
	want := &messenger.BindRequest{
		Shard: int32(keeper.Shard("id", 4)), Attempt: "id", Build: &messenger.Build{Service: "s", Version: "v1"},
		Retention: (15 * time.Second).Milliseconds(),
	}
	if diff := cmp.Diff(want, <-f.home.bound, protocmp.Transform()); diff != "" {
		t.Errorf("bound (-want +got):\n%s", diff)
	}
}

// The only upstream of the version that began a stream leaves.
func TestStreamOfLeavingVersionNotResumed(t *testing.T) {
	for _, c := range []struct {
		name    string
		since   time.Duration
		outcome string
		arrived []string
	}{
		{"it still serves", drain / 4, "200", []string{"u1:2"}},
		{"it may have stopped", drain, "resume 503 no", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.home.build = &messenger.Build{Service: "s", Version: "v1"}
			other := f.startUpstream(t, "u0", streamEvents(0))
			other.Version = "v2"
			leaving := f.startUpstream(t, "u1", streamEvents(0))
			leaving.Version = "v1"
			f.start(t, descriptor.Stream{Resumable: true}, 1, other, leaving)
			f.leave(leaving, time.Now().Add(-c.since))
			r := request()
			r.LastEvent, r.Resumes = "2", "first"
			outcome, _ := f.serve(t, r)
			arrived, _ := f.received()
			if diff := cmp.Diff([]any{c.outcome, c.arrived}, []any{outcome, arrived}); diff != "" {
				t.Errorf("outcome, arrivals (-want +got):\n%s", diff)
			}
		})
	}
}

func TestResumedTurnRecordedWithoutItsFirstEvents(t *testing.T) {
	f := newFixture()
	f.home.build = &messenger.Build{Service: "s", Version: "v1"}
	u := f.startUpstream(t, "u", streamEvents(0))
	u.Version = "v1"
	f.start(t, descriptor.Stream{Resumable: true, Retain: true}, 1, u)
	r := request()
	r.LastEvent, r.Resumes = "2", "first"
	outcome, _ := f.serve(t, r)
	if diff := cmp.Diff([]any{"resume 503 no", 0}, []any{outcome, len(f.home.requests())}); diff != "" {
		t.Errorf("outcome, records (-want +got):\n%s", diff)
	}
}

// A caller resumes a stream on a route that is not resumable, or is not any more.
func TestStreamOfRouteThatIsNotResumableJoinedFromTwoVersions(t *testing.T) {
	f := newFixture()
	f.home.build = &messenger.Build{Service: "s", Version: "v1"}
	f.start(t, descriptor.Stream{}, 1, f.upstreamOf(t, "u0", "s", "v2", streamEvents(0)))
	r := request()
	r.LastEvent, r.Resumes = "2", "first"
	f.serve(t, r)
	arrived, _ := f.received()
	if diff := cmp.Diff([]string(nil), arrived); diff != "" {
		t.Errorf("arrivals (-want +got):\n%s", diff)
	}
}
