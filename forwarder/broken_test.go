package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

// atOnce is well below the time limit of the route: a response that is broken in its head is
// known to be lost when the head has arrived.
const atOnce = 2 * time.Second

// brokenOutcomes are the routes, and what a caller gets there after a lost response.
var brokenOutcomes = []struct {
	name     string
	kind     descriptor.Kind
	attempts int
	normal   script
	want     []string
}{
	{"idempotent, one attempt", descriptor.Idempotent{}, 1, answerOK, []string{lost, ""}},
	{"idempotent, two attempts", descriptor.Idempotent{}, 2, answerOK, []string{"200", "ok"}},
	{"once", descriptor.Once{}, 2, answerOK, []string{lost, ""}},
	{"stream", descriptor.Stream{}, 2, streamEvents(0), []string{lost, ""}},
	{"resumable stream", descriptor.Stream{Resumable: true}, 1, streamEvents(0), []string{lost, ""}},
}

// checkBrokenIsLost sends a request on each kind of route to the only upstream, on a connection
// that has carried a request before. The upstream answers with raw, in which ID stands for the
// request's id, and leaves the connection open. Another upstream is listed by then. The counters
// name the defect.
func checkBrokenIsLost(t *testing.T, raw, defect string) {
	t.Helper()
	for _, c := range brokenOutcomes {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture()
			other := f.startUpstream(t, "b", c.normal)
			answerBroken := func(conn net.Conn, r *http.Request) bool {
				f.mu.Lock()
				f.list = f.list.WithUpstream(other, 1, time.Now())
				f.mu.Unlock()
				_, _ = io.WriteString(conn, strings.ReplaceAll(raw, "ID", r.Header.Get("Id")))
				return true
			}
			f.start(t, c.kind, c.attempts, f.startUpstream(t, "a", c.normal, answerBroken))
			f.serve(t, request())
			began := time.Now()
			outcome, body := f.serve(t, request())
			if diff := cmp.Diff(c.want, []string{outcome, body}); diff != "" {
				t.Errorf("outcome and body (-want +got):\n%s", diff)
			}
			if took := time.Since(began); took > atOnce {
				t.Errorf("the outcome took %s", took)
			}
			retries := "{}"
			if outcome == "200" {
				retries = `{"broken": 1}`
			}
			want := []string{fmt.Sprintf(`{"answer_%s": 1}`, defect), retries}
			if diff := cmp.Diff(want, []string{f.counters.Dropped.String(), f.counters.Retries.String()}); diff != "" {
				t.Errorf("counters of dropped items and of retries (-want +got):\n%s", diff)
			}
			if arrived, _ := f.received(); len(arrived) < 2 || arrived[1] != "a:" {
				t.Errorf("requests arrived: %v", arrived)
			}
		})
	}
}

// The upstream answers with a status that HTTP doesn't have, or with one that ends the use of
// HTTP on the connection.
func TestStatusThatDoesNotExistIsAnswerOrWaitedFor(t *testing.T) {
	const rest = " OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) { checkBrokenIsLost(t, "HTTP/1.1 "+status+rest, "status") })
	}
	t.Run("before a response", func(t *testing.T) {
		checkBrokenIsLost(t, "HTTP/1.1 000 OK\r\nId: ID\r\n\r\nHTTP/1.1 200"+rest, "status")
	})
}
