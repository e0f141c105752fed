package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/responder"
)

// streamUnframed returns a script that streams the events 1 to 3, after the one that the
// request names, with neither a length nor chunks, and ends with the connection after
// the event last and the given text.
func streamUnframed(last int, text string) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", r.Header.Get("Id"))
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &from)
		for i := from + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(c, "id: %d\ndata: d%d\n\n", i, i)
		}
		_, _ = io.WriteString(c, text)
		return false
	}
}

const wholeStream = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\n"

func TestStreamThatEndsInsideAnEventLooksComplete(t *testing.T) {
	for _, c := range []struct {
		name          string
		kind          descriptor.Stream
		scripts       []script
		outcome, body string
	}{
		{"whole", descriptor.Stream{}, []script{streamUnframed(3, "")}, "200", wholeStream},
		{"trailing line", descriptor.Stream{}, []script{streamUnframed(3, "\n")}, "200", wholeStream + "\n"},
		{"inside an event", descriptor.Stream{}, []script{streamUnframed(1, "id: 2\ndata: d")}, "cut cut", wholeStream[:16]},
		{"after the data", descriptor.Stream{}, []script{streamUnframed(1, "id: 2\ndata: d2\n")}, "cut cut", wholeStream[:16]},
		{
			"resumable",
			descriptor.Stream{Resumable: true},
			[]script{streamUnframed(1, "id: 2\ndata: d"), streamUnframed(3, "")},
			"200", wholeStream,
		},
		{"chunked", descriptor.Stream{}, []script{streamChunkedPart}, "cut cut", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.start(t, c.kind, 1, f.startUpstream(t, "a", c.scripts...))
			outcome, body := f.serve(t, request())
			if diff := cmp.Diff([]string{c.outcome, c.body}, []string{outcome, body}); diff != "" {
				t.Errorf("outcome and body (-want +got):\n%s", diff)
			}
		})
	}
}

// streamChunkedPart sends chunks that end properly, inside an event.
func streamChunkedPart(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 1\nda\r\n0\r\n\r\n", r.Header.Get("Id"))
	return true
}

func TestCallAnsweredWithoutLengthIsWhole(t *testing.T) {
	f := newFixture()
	f.start(t, descriptor.Once{}, 1, f.startUpstream(t, "a", func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", r.Header.Get("Id"))
		return false
	}))
	outcome, body := f.serve(t, request())
	if diff := cmp.Diff([]string{"200", "ok"}, []string{outcome, body}); diff != "" {
		t.Errorf("outcome and body (-want +got):\n%s", diff)
	}
}

func TestCallResetOnTheWayWithoutLengthLooksComplete(t *testing.T) {
	f := newFixture()
	f.start(t, descriptor.Once{}, 1, f.startUpstream(t, "a", func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", r.Header.Get("Id"))
		return responder.Reset(c)
	}))
	if outcome, _ := f.serve(t, request()); outcome != lost {
		t.Errorf("outcome %s, want %s", outcome, lost)
	}
}
