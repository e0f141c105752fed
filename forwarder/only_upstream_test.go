package forwarder_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

// The response of the only upstream is given up as overdue, though nobody else could send one.
func TestOnlyUpstreamIsGivenUpAsOverdue(t *testing.T) {
	f := newFixture()
	f.start(t, descriptor.Idempotent{}, 3, f.startUpstream(t, "u", func(c net.Conn, r *http.Request) bool {
		time.Sleep(400 * time.Millisecond)
		return answerOK(c, r)
	}))
	got, _ := f.serve(t, request())
	if diff := cmp.Diff("200", got); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}
