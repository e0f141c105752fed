package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// upstreamOf starts an upstream of a service and a version.
func (f *fixture) upstreamOf(t *testing.T, name, service, version string, scripts ...script) descriptor.Upstream {
	u := f.startUpstream(t, name, scripts...)
	u.Service, u.Version = service, version
	return u
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
