package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

// answerLeaving answers and says that the upstream leaves.
func answerLeaving(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
	return true
}

// answerNotRunLeaving refuses and says that the upstream leaves.
func answerNotRunLeaving(c net.Conn, _ *http.Request) bool {
	_, _ = fmt.Fprint(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// breakOff streams one event, says something of the upstream in the header, and breaks off.
func breakOff(notice string) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n\r\nid: 1\ndata: d1\n\nid: 2\nda", r.Header.Get("Id"), notice)
		return false
	}
}

// The route allows one upstream, and the one that broke the stream off still serves.
func TestInterruptedStreamRunsOnTwoUpstreams(t *testing.T) {
	for _, c := range []struct {
		notice, outcome, body string
		arrived               []string
	}{
		{"Leaving: 1", "200", threeEvents, []string{"u0:", "u0:1"}},
		{"Limit: 0.01", "cut cut", "id: 1\ndata: d1\n\n", []string{"u0:"}},
	} {
		t.Run(c.notice, func(t *testing.T) {
			f := newFixture()
			near := f.upstreamOf(t, "u0", "s", "v1", breakOff(c.notice), streamEvents(0))
			far := f.upstreamOf(t, "u1", "s", "v1", streamEvents(0))
			far.DataCentre = "far"
			f.start(t, descriptor.Stream{Resumable: true}, 1, near, far)
			outcome, body := f.serve(t, request())
			arrived, _ := f.received()
			if diff := cmp.Diff([]any{c.outcome, c.body, c.arrived}, []any{outcome, body, arrived}); diff != "" {
				t.Errorf("outcome, body, arrivals (-want +got):\n%s", diff)
			}
		})
	}
}

func TestUpstreamThatSaidItLeavesGetsNewRequests(t *testing.T) {
	for name, first := range map[string]script{"answer": answerLeaving, "refusal": answerNotRunLeaving} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			// Later responses don't say it: they may have been begun before.
			f.start(t, descriptor.Once{}, 1, f.startUpstream(t, "leaving", first, answerOK), f.startUpstream(t, "other", answerOK))
			for range 40 {
				if outcome, _ := f.serve(t, request()); outcome != "200" {
					t.Fatalf("outcome %s", outcome)
				}
			}
			arrived, _ := f.received()
			if at := slices.Index(arrived, "leaving:"); at < 0 || slices.Contains(arrived[at+1:], "leaving:") {
				t.Errorf("arrived: %v", arrived)
			}
		})
	}
}
