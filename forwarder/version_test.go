package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
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
