package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

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
