package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// BenchmarkCall measures a service call through a Forwarder to an upstream on the
// loopback interface. The result includes the processing time of the upstream.
func BenchmarkCall(b *testing.B) {
	f := newFixture()
	f.start(b, descriptor.Once{}, 1, f.startUpstream(b, "u", answerOK))
	b.ReportAllocs()
	for b.Loop() {
		var s sink
		f.forwarder.Serve(b.Context(), request(), &s, time.Now())
	}
}

// BenchmarkEvent measures the forwarding of one event of a stream. The result
// includes the processing time of the upstream.
func BenchmarkEvent(b *testing.B) {
	const events = 1000
	piece := fmt.Sprintf("id: 1\ndata: %0100d\n\n", 7)
	streamLong := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for range events {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	f := newFixture()
	f.start(b, descriptor.Stream{}, 1, f.startUpstream(b, "u", streamLong))
	b.ReportAllocs()
	for range b.N/events + 1 {
		var s sink
		f.forwarder.Serve(b.Context(), request(), &s, time.Now())
	}
}
