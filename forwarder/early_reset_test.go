package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/responder"
)

const (
	// longBody is the length of an upload in bytes that does not fit into the socket buffers.
	longBody = 4 << 20
	// resetTries is the number of uploads on each route: whether the write or the read meets
	// the reset first is not certain.
	resetTries = 20
)

// earlyRoutes are the routes, and what a caller gets there after a part of an answer.
var earlyRoutes = []struct {
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
}

// earlyPart returns a part of an answer that has no length.
func earlyPart(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", status, id, event(1))
}

// upload returns a request with a long body.
func upload() descriptor.Request {
	r := request()
	r.Body = []byte(strings.Repeat("x", longBody))
	return r
}

// The upstream answers a long upload at once and resets the connection. The caller gets the
// part that it sent as a whole answer, framed with a length.
func TestPartOfEarlyAnswerThatIsResetIsWhole(t *testing.T) {
	for _, c := range earlyRoutes {
		t.Run(c.name, func(t *testing.T) {
			for range resetTries {
				f := newFixture()
				other := f.startUpstream(t, "b", answerOK)
				f.start(t, c.kind, c.attempts, startRaw(t, func(conn net.Conn, r *http.Request) bool {
					f.add(other)
					_, _ = io.WriteString(conn, earlyPart(c.status, r.Header.Get("Id")))
					return responder.Reset(conn)
				}))
				outcome, body := f.serve(t, upload())
				if diff := cmp.Diff(c.want, []string{outcome, body}); diff != "" {
					t.Errorf("outcome and body (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// resetConn is a connection to an upstream that was reset after a part of an answer. The write of
// the request meets the reset, and the read then sees an ordinary end.
type resetConn struct {
	net.Conn
	part io.Reader
}

func (c resetConn) Read(p []byte) (int, error)  { return c.part.Read(p) }
func (c resetConn) Write([]byte) (int, error)   { return 1, syscall.ECONNRESET }
func (c resetConn) SetDeadline(time.Time) error { return nil }
func (c resetConn) Close() error                { return nil }

// As TestPartOfEarlyAnswerThatIsResetIsWhole, where the write meets the reset for certain. The
// counters name the defect.
func TestResetThatTheWriteMeetsIsAnEnd(t *testing.T) {
	early := descriptor.Upstream{ID: "early", Address: "192.0.2.1:80", Service: "s", Slots: 4}
	for _, c := range earlyRoutes {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			other, dial := f.startUpstream(t, "b", answerOK), f.dial
			f.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if address != early.Address {
					return dial(ctx, network, address)
				}
				f.add(other)
				return resetConn{part: strings.NewReader(earlyPart(c.status, "id"))}, nil
			}
			f.start(t, c.kind, c.attempts, early)
			outcome, body := f.serve(t, upload())
			retries := "{}"
			if outcome == "200" {
				retries = `{"broken": 1}`
			}
			want := append(c.want, `{"answer_end": 1}`, retries)
			if diff := cmp.Diff(want, []string{outcome, body, f.counters.Dropped.String(), f.counters.Retries.String()}); diff != "" {
				t.Errorf("outcome, body, dropped items and retries (-want +got):\n%s", diff)
			}
		})
	}
}

// startRaw starts an upstream that does not read the bodies of requests.
func startRaw(t *testing.T, answer script) descriptor.Upstream {
	t.Helper()
	return descriptor.Upstream{ID: "early", Address: responder.Serve(t, answer), Service: "s", Slots: 4}
}

// An upstream that answers before it has read a long upload may end its answer without a length
// and read on.
func TestEarlyAnswerThatEndsBeforeUploadIsWhole(t *testing.T) {
	f := newFixture()
	f.start(t, descriptor.Once{}, 1, startRaw(t, func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", r.Header.Get("Id"))
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	}))
	outcome, body := f.serve(t, upload())
	if diff := cmp.Diff([]string{"200", "ok"}, []string{outcome, body}); diff != "" {
		t.Errorf("outcome and body (-want +got):\n%s", diff)
	}
}
