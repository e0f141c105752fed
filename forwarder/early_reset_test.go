package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/standin"
)

const (
	// longBody is the length of an upload in bytes that does not fit into the socket buffers.
	longBody = 4 << 20
	// resetTries is the number of uploads on each route: whether the write or the read meets
	// the reset first is not certain.
	resetTries = 20
)

// resetEarly starts an upstream that answers long uploads at once, before it reads their bodies,
// with a response without a length, and resets the connection. Another upstream is listed then.
func (f *fixture) resetEarly(t *testing.T, other descriptor.Upstream, status int, body string) descriptor.Upstream {
	t.Helper()
	s, err := standin.NewRawServer(func(c net.Conn, r *http.Request) bool {
		f.add(other)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", status, r.Header.Get("Id"), body)
		return standin.Reset(c)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return descriptor.Upstream{ID: "early", Address: s.Address(), Service: "s", Slots: 4}
}

// The caller of a call gets a part of the response as a whole one, framed with a length.
func TestPartOfEarlyAnswerThatIsResetIsWhole(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     descriptor.Kind
		attempts int
		status   int
		want     []string
	}{
		{"idempotent", descriptor.Idempotent{}, 1, 200, []string{lost, ""}},
		{"idempotent, two attempts", descriptor.Idempotent{}, 2, 200, []string{"200", "ok"}},
		{"once", descriptor.Once{}, 2, 200, []string{lost, ""}},
		{"stream", descriptor.Stream{}, 2, 200, []string{"cut cut", event(1)}},
		{"error", descriptor.Once{}, 1, 500, []string{lost, ""}},
		{"error to a stream", descriptor.Stream{}, 1, 404, []string{lost, ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range resetTries {
				f := newFixture()
				other := f.startUpstream(t, "b", answerOK)
				f.start(t, c.kind, c.attempts, f.resetEarly(t, other, c.status, event(1)))
				r := request()
				r.Body = []byte(strings.Repeat("x", longBody))
				outcome, body := f.serve(t, r)
				if diff := cmp.Diff(c.want, []string{outcome, body}); diff != "" {
					t.Errorf("outcome and body (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(`{"answer_end": 1}`, f.counters.Dropped.String()); diff != "" {
					t.Errorf("dropped items (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// An upstream that answers before it has read a long upload may end its answer without a length
// and read on.
func TestEarlyAnswerThatEndsBeforeUploadIsWhole(t *testing.T) {
	s, err := standin.NewRawServer(func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", r.Header.Get("Id"))
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	f := newFixture()
	f.start(t, descriptor.Once{}, 1, descriptor.Upstream{ID: "early", Address: s.Address(), Service: "s", Slots: 4})
	r := request()
	r.Body = []byte(strings.Repeat("x", longBody))
	outcome, body := f.serve(t, r)
	if diff := cmp.Diff([]string{"200", "ok"}, []string{outcome, body}); diff != "" {
		t.Errorf("outcome and body (-want +got):\n%s", diff)
	}
}
