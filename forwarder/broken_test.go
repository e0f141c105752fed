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
	"github.com/citronpier/citronpier/internal/responder"
)

// atOnce is well below the time limit of the route: a response that is broken in its head is
// known to be lost when the head has arrived.
const atOnce = 2 * time.Second

// brokenOutcome is a route, and what a caller gets there after a lost response.
type brokenOutcome struct {
	name     string
	kind     descriptor.Kind
	attempts int
	// normal answers the other requests.
	normal script
	want   []string
}

var brokenOutcomes = []brokenOutcome{
	{"idempotent, one attempt", descriptor.Idempotent{}, 1, answerOK, []string{lost, ""}},
	{"idempotent, two attempts", descriptor.Idempotent{}, 2, answerOK, []string{"200", "ok"}},
	{"once", descriptor.Once{}, 2, answerOK, []string{lost, ""}},
	{"stream", descriptor.Stream{}, 2, streamEvents(0), []string{lost, ""}},
	{"resumable stream", descriptor.Stream{Resumable: true}, 1, streamEvents(0), []string{lost, ""}},
}

// checkBrokenIsLost sends a request on each kind of route to the only upstream, on a connection
// that has carried a request before. The upstream answers with raw, in which ID stands for the
// request's id, and leaves the connection open or closes it. Another upstream is listed by then.
// The counters name the defect.
func checkBrokenIsLost(t *testing.T, raw, defect string) {
	t.Helper()
	for _, open := range []bool{true, false} {
		for _, c := range brokenOutcomes {
			t.Run(fmt.Sprintf("%s, left open %v", c.name, open), func(t *testing.T) {
				t.Parallel()
				c.checkIsLost(t, raw, defect, open)
			})
		}
	}
}

// checkIsLost implements checkBrokenIsLost for one route.
func (c brokenOutcome) checkIsLost(t *testing.T, raw, defect string, open bool) {
	t.Helper()
	f := newFixture()
	other := f.startUpstream(t, "b", c.normal)
	answerBroken := func(conn net.Conn, r *http.Request) bool {
		f.add(other)
		_, _ = io.WriteString(conn, strings.ReplaceAll(raw, "ID", r.Header.Get("Id")))
		return open
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

// headsThatAreNone are heads, without the line that ends them.
var headsThatAreNone = map[string]string{
	"blank in a name":                      "HTTP/1.1 200 OK\r\nId: ID\r\nBad Name: x\r\nContent-Length: 2\r\n",
	"blank in a name, before the id":       "HTTP/1.1 200 OK\r\nBad Name: x\r\nId: ID\r\nContent-Length: 2\r\n",
	"blank after a name":                   "HTTP/1.1 200 OK\r\nId: ID\r\nName : x\r\nContent-Length: 2\r\n",
	"blank before a name":                  "HTTP/1.1 200 OK\r\nId: ID\r\n Name: x\r\nContent-Length: 2\r\n",
	"tab before a name":                    "HTTP/1.1 200 OK\r\nId: ID\r\n\tName: x\r\nContent-Length: 2\r\n",
	"blank before the first name":          "HTTP/1.1 200 OK\r\n Name: x\r\nId: ID\r\nContent-Length: 2\r\n",
	"tab in a name":                        "HTTP/1.1 200 OK\r\nId: ID\r\nBad\tName: x\r\nContent-Length: 2\r\n",
	"blank in the name of the length":      "HTTP/1.1 200 OK\r\nId: ID\r\nContent Length: 2\r\n",
	"blank after the name of the length":   "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length : 2\r\n",
	"blank before the name of the length":  "HTTP/1.1 200 OK\r\nId: ID\r\n Content-Length: 2\r\n",
	"blank after the name of the encoding": "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding : chunked\r\n",
	"blank in the name of the id":          "HTTP/1.1 200 OK\r\nI d: ID\r\nId: ID\r\nContent-Length: 2\r\n",
	"NUL in a name":                        "HTTP/1.1 200 OK\r\nId: ID\r\nBad\x00Name: x\r\nContent-Length: 2\r\n",
	"control byte in a name":               "HTTP/1.1 200 OK\r\nId: ID\r\nBad\x01Name: x\r\nContent-Length: 2\r\n",
	"delete in a name":                     "HTTP/1.1 200 OK\r\nId: ID\r\nBad\x7fName: x\r\nContent-Length: 2\r\n",
	"return in a name":                     "HTTP/1.1 200 OK\r\nId: ID\r\nBad\rName: x\r\nContent-Length: 2\r\n",
	"return before a name":                 "HTTP/1.1 200 OK\r\nId: ID\r\n\rName: x\r\nContent-Length: 2\r\n",
	"line feed in a name":                  "HTTP/1.1 200 OK\r\nId: ID\r\nBad\nName: x\r\nContent-Length: 2\r\n",
	"line feed after a name":               "HTTP/1.1 200 OK\r\nId: ID\r\nName\n: x\r\nContent-Length: 2\r\n",
	"line feed before a name":              "HTTP/1.1 200 OK\r\nId: ID\r\n\nContent-Length: 2\r\n",
	"no name":                              "HTTP/1.1 200 OK\r\nId: ID\r\n: x\r\nContent-Length: 2\r\n",
	"parenthesis in a name":                "HTTP/1.1 200 OK\r\nId: ID\r\nBad(Name): x\r\nContent-Length: 2\r\n",
	"no colon":                             "HTTP/1.1 200 OK\r\nId: ID\r\nName\r\nContent-Length: 2\r\n",
	"control byte in a value":              "HTTP/1.1 200 OK\r\nId: ID\r\nName: x\x00y\r\nContent-Length: 2\r\n",
	"return in a value":                    "HTTP/1.1 200 OK\r\nId: ID\r\nName: x\ry\r\nContent-Length: 2\r\n",
	"control byte in the reason":           "HTTP/1.1 200 O\x00K\r\nId: ID\r\nContent-Length: 2\r\n",
	"return in the reason":                 "HTTP/1.1 200 O\rK\r\nId: ID\r\nContent-Length: 2\r\n",
	"line feeds alone":                     "HTTP/1.1 200 OK\nId: ID\nContent-Length: 2\n",
	"two blanks before the status":         "HTTP/1.1  200 OK\r\nId: ID\r\nContent-Length: 2\r\n",
	"status with a sign":                   "HTTP/1.1 +20 OK\r\nId: ID\r\nContent-Length: 2\r\n",
	"another version":                      "HTTP/2.0 200 OK\r\nId: ID\r\nContent-Length: 2\r\n",
	"chunks in HTTP/1.0":                   "HTTP/1.0 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n",
	"two lengths":                          "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\nContent-Length: 3\r\n",
	"length with a sign":                   "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: +2\r\n",
	"length without a value":               "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length:\r\n",
	"list of lengths":                      "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2, 2\r\n",
	"unknown encoding":                     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: x, chunked\r\n",
	"two encodings":                        "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"in an interim response":               "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n",
}

// The upstream answers with a head that breaks the grammar of HTTP.
func TestHeadThatIsNoneIsAnswer(t *testing.T) {
	for name, head := range headsThatAreNone {
		t.Run(name, func(t *testing.T) { checkBrokenIsLost(t, head+"\r\nok", "head") })
	}
	t.Run("with an event", func(t *testing.T) {
		const head = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nContent-Length : 15\r\n"
		checkBrokenIsLost(t, head+"\r\nid: 1\ndata: d1\n\n", "head")
	})
}

// partsOfHeads are parts of a head, one for each place in its grammar. exchanger has a test with
// all parts.
var partsOfHeads = []string{
	"", "HTT", "HTTP/1.1", "HTTP/1.1 20", "HTTP/1.1 200", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nI", "HTTP/1.1 200 OK\r\nId:", "HTTP/1.1 200 OK\r\nId: id", "HTTP/1.1 200 OK\r\nId: id\r\n",
	"HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 2", "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 0\r\n",
	"HTTP/1.1 200 OK\r\nId: id\r\nContent-Type: text/event-stream\r\n\r",
}

// The upstream stops inside the head of its answer and closes or resets the connection.
func TestHeadThatIsCutShortIsAnswer(t *testing.T) {
	for _, c := range brokenOutcomes {
		for name, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				t.Parallel()
				for _, part := range partsOfHeads {
					c.checkCutIsLost(t, part, reset)
				}
			})
		}
	}
}

// checkCutIsLost sends a request to an upstream that answers with a part of a head.
func (c brokenOutcome) checkCutIsLost(t *testing.T, part string, reset bool) {
	t.Helper()
	f := newFixture()
	other := f.startUpstream(t, "b", c.normal)
	f.start(t, c.kind, c.attempts, f.startUpstream(t, "a", c.normal, func(conn net.Conn, _ *http.Request) bool {
		f.add(other)
		_, _ = io.WriteString(conn, part)
		return reset && responder.Reset(conn)
	}))
	f.serve(t, request())
	outcome, body := f.serve(t, request())
	if diff := cmp.Diff(c.want, []string{outcome, body}); diff != "" {
		t.Errorf("after %q: outcome and body (-want +got):\n%s", part, diff)
	}
}
