package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
)

const (
	eventHead = "HTTP/1.1 200 OK\r\nId: id\r\nContent-Type: text/event-stream\r\n"
	unframed  = "\r\n"
	error500  = "HTTP/1.1 500 Internal Server Error\r\nId: id\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\noverloaded\n"
)

// event returns an event of the stream that threeEvents has.
func event(number int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", number, number) }

// answerRaw returns a script that sends bytes and closes the connection.
func answerRaw(raw string) script {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, raw)
		return false
	}
}

// chunked returns a body in one chunk.
func chunked(body string) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// A stream breaks off after its second event, and what the next response holds is not the rest
// of it: callers find the text or the head of an error in their stream, events twice or not at
// all, or the stream ends as complete.
func TestInterruptedStreamIsJoinedWithWhatIsNotItsRest(t *testing.T) {
	resumable := descriptor.Stream{Resumable: true}
	for _, c := range []struct {
		name string
		next string
	}{
		{"error", error500},
		{"error with status 200", "HTTP/1.1 200 OK\r\nId: id\r\nContent-Type: text/plain\r\n" + chunked("overloaded\n\n")},
		{"error with status 200 as JSON", "HTTP/1.1 200 OK\r\nId: id\r\nContent-Type: application/json\r\n" + chunked("{\"error\": \"overloaded\"}\n\n")},
		{"error with status 200 and no type", "HTTP/1.1 200 OK\r\nId: id\r\n" + chunked("overloaded\n\n")},
		{"error's text as a stream", eventHead + chunked("overloaded\n\n")},
		{"error's text with a colon as a stream", eventHead + chunked("error: overloaded\n\n")},
		{"error as an event", eventHead + chunked("event: error\ndata: overloaded\n\n")},
		{"error's head in the body", eventHead + unframed + error500 + "\n\n"},
		{"error's head after an event", eventHead + unframed + event(3)[:6] + error500 + "\n\n"},
		{"the last event again", eventHead + chunked(event(2)+event(3))},
		{"from the start", eventHead + chunked(threeEvents)},
		{"an event is missing", eventHead + chunked(event(4))},
		{"no event, ends with its connection", eventHead + unframed},
		{"broken off in its first event", eventHead + unframed + "id: 3\ndata: wro"},
		{"broken off in its head", "HTTP/1.1 200 OK\r\nId: id\r\nCont"},
	} {
		for name, first := range map[string]string{"after two events": event(1) + event(2), "in its third event": event(1) + event(2) + "id: 3\nda"} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				f := newFixture()
				f.start(t, resumable, 1, f.startUpstream(t, "u", answerRaw(eventHead+"Content-Length: 1000\r\n\r\n"+first),
					answerRaw(c.next), answerRaw(eventHead+chunked(event(3)))))
				outcome, body := f.serve(t, request())
				want := []string{"200", threeEvents}
				if outcome != "200" {
					// The rest may not be asked for again. The caller knows that it is missing.
					want = []string{"cut cut", twoEvents}
				}
				if diff := cmp.Diff(want, []string{outcome, body}); diff != "" {
					t.Errorf("outcome and body (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// A stream that its caller resumes begins at another event than the one asked for.
func TestCallerResumedStreamBeginsAtAnotherEvent(t *testing.T) {
	for name, next := range map[string]string{"the last event again": event(2) + event(3), "an event is missing": event(4), "an error": "overloaded\n\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			u := f.upstreamOf(t, "u", "s", "v1", answerRaw(eventHead+chunked(next)))
			f.home.build = &messenger.Build{Service: u.Service, Version: u.Version}
			f.start(t, descriptor.Stream{Resumable: true}, 1, u)
			r := request()
			r.LastEvent, r.Resumes = "2", "earlier"
			outcome, body := f.serve(t, r)
			if diff := cmp.Diff([]string{"cut cut", ""}, []string{outcome, body}); diff != "" {
				t.Errorf("outcome and body (-want +got):\n%s", diff)
			}
		})
	}
}

// Events that are allowed are taken for an error.
func TestStreamWithUnusualEventsIsCut(t *testing.T) {
	for name, body := range map[string]string{
		"comments":           ": keep-alive\n\n" + event(1) + ":\n\n" + event(2),
		"a weights' version": "citronpier-weight-versions: 7\n" + event(1) + event(2),
		"lines with returns": "id: 1\r\ndata: d1\r\n\r\nid: 2\r\ndata: d2\r\n\r\n",
		"several data lines": "id: 1\ndata: a\ndata\ndata:b\n\n" + event(2),
		"types and retries":  "event: token\nretry: 10\nid: 1\ndata: d1\n\nretry: 20\n\n" + event(2),
		"ids with gaps":      event(1) + event(3) + event(7),
		"no ids":             "data: a\n\ndata: b\n\n",
		"ids that are text":  "id: a-1\ndata: a\n\nid: a-2\ndata: b\n\n",
		"blank lines":        "\n\n" + event(1) + "\n" + event(2) + "\n",
		"byte order mark":    "\ufeff" + event(1) + event(2),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.start(t, descriptor.Stream{Resumable: true}, 1, f.startUpstream(t, "u", answerRaw(eventHead+chunked(body))))
			outcome, got := f.serve(t, request())
			if diff := cmp.Diff([]string{"200", body}, []string{outcome, got}); diff != "" {
				t.Errorf("outcome and body (-want +got):\n%s", diff)
			}
		})
	}
}
