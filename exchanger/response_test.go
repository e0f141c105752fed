package exchanger_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/internal/responder"
)

// responseCases are the ways in which an upstream answers two requests in a row.
var responseCases = []struct {
	name   string
	script func(c net.Conn, id string) bool
	want   []string
	// connections is the total number of connections that the two requests use.
	connections int64
}{
	{"whole", func(c net.Conn, id string) bool {
		reply(c, id, "ok")
		return true
	}, []string{"ok", "ok"}, 1},
	{"connection closed within the body", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", id)
		return false
	}, []string{"incomplete", "incomplete"}, 2},
	{"connection closed within a chunked body", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", id)
		return false
	}, []string{"incomplete", "incomplete"}, 2},
	{"body that ends with the connection", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", id)
		return false
	}, []string{"ok", "ok"}, 2},
	{"connection reset within the body", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", id)
		time.Sleep(20 * time.Millisecond)
		return responder.Reset(c)
	}, []string{"incomplete", "incomplete"}, 2},
	{"malformed response", func(c net.Conn, _ string) bool {
		_, _ = io.WriteString(c, "!!\r\n\r\n")
		return false
	}, []string{"incomplete", "incomplete"}, 2},
	{"status that does not exist", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 000 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	}, []string{"incomplete", "incomplete"}, 2},
	{"name with a blank", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	}, []string{"incomplete", "incomplete"}, 2},
	{"name with a blank in a trailer", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n", id)
		return true
	}, []string{"incomplete", "incomplete"}, 2},
	{"trailer", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nName: x\r\n\r\n", id)
		return true
	}, []string{"ok", "ok"}, 1},
	{"header longer than the buffer", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nLong: %s\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", strings.Repeat("x", 100<<10), id)
		return true
	}, []string{"ok", "ok"}, 1},
	{"header in single bytes, after an interim response", func(c net.Conn, id string) bool {
		for _, b := range []byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok") {
			_, _ = c.Write([]byte{b})
		}
		return true
	}, []string{"ok", "ok"}, 1},
	{"duplicate response right after the first", func(c net.Conn, id string) bool {
		reply(c, id, "ok")
		if id == "1" {
			reply(c, id, "again")
		}
		return true
	}, []string{"ok", "ok"}, 2},
	{"duplicate response before the second", func(c net.Conn, id string) bool {
		if id == "2" {
			reply(c, "1", "late")
		}
		reply(c, id, "ok")
		return true
	}, []string{"ok", "ok"}, 1},
	{"only responses to other requests", func(c net.Conn, _ string) bool {
		for range 5 {
			reply(c, "other", "no")
		}
		return true
	}, []string{"incomplete", "incomplete"}, 2},
	{"success without proof", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nUnproved: 1\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	}, []string{"incomplete", "incomplete"}, 2},
	{"not run", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}, []string{"not run", "not run"}, 1},
	{"rejected by another incarnation", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 No\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", id)
		return true
	}, []string{"not run", "not run"}, 1},
	{"not run, without an id", func(c net.Conn, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}, []string{"not run", "not run"}, 2},
	{"rejected by another incarnation, without an id", func(c net.Conn, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 421 No\r\nContent-Length: 2\r\n\r\nno")
		return true
	}, []string{"not run", "not run"}, 2},
	{"earlier refusal once more, without an id", func(c net.Conn, id string) bool {
		if id == "2" {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		reply(c, id, "ok")
		return true
	}, []string{"ok", "ok"}, 1},
	{"earlier refusal once more", func(c net.Conn, id string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		if id == "2" {
			reply(c, id, "ok")
		}
		return true
	}, []string{"not run", "ok"}, 1},
	{"earlier refusal in place of the answer", func(c net.Conn, id string) bool {
		if id == "1" {
			reply(c, id, "ok")
			return true
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	}, []string{"ok", "incomplete"}, 1},
	{"closing", func(c net.Conn, id string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", id)
		return true
	}, []string{"ok", "ok"}, 2},
}

// Two requests are sent in a row to an upstream that answers in a given way. The
// cases check the results and whether the second request reuses the connection.
func TestResponses(t *testing.T) {
	for _, c := range responseCases {
		t.Run(c.name, func(t *testing.T) {
			u := serve(t, func(conn net.Conn, r *http.Request, _ int) bool { return c.script(conn, r.Header.Get("Id")) })
			e := newExchanger()
			var got []string
			for _, id := range []string{"1", "2"} {
				got = append(got, send(t, e, u, newAttempt(id, http.MethodPost)))
				// Give surplus bytes of the upstream time to arrive.
				time.Sleep(10 * time.Millisecond)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("responses (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.connections, u.connections.Load()); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}

// endedConn is a connection that has ended for reads, with a whole response or a part of one,
// while a write goes on.
type endedConn struct {
	recordedConn
	// writeError ends the write, after a while.
	writeError error
}

func (c endedConn) Write(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	if c.writeError != nil {
		return 1, c.writeError
	}
	return len(p), nil
}

// A response ends with its connection while the request is written. It is complete only if
// the write succeeds, which is known later.
func TestResponseEndsBeforeWriteFails(t *testing.T) {
	for _, c := range []struct {
		name, head string
		writeError error
		want       string
	}{
		{"no length, reset", "", syscall.ECONNRESET, "incomplete"},
		{"no length, timeout", "", os.ErrDeadlineExceeded, "incomplete"},
		{"no length, written", "", nil, "part"},
		{"length, reset", "Content-Length: 4\r\n", syscall.ECONNRESET, "part"},
		{"longer length, reset", "Content-Length: 5\r\n", syscall.ECONNRESET, "incomplete"},
		{"chunks, reset", "Transfer-Encoding: chunked\r\n", syscall.ECONNRESET, "incomplete"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dial := func(context.Context, string, string) (net.Conn, error) {
				response := strings.NewReader("HTTP/1.1 200 OK\r\nId: 1\r\n" + c.head + "\r\npart")
				return endedConn{recordedConn{response: response}, c.writeError}, nil
			}
			a := newAttempt("1", http.MethodPost)
			a.Request.Body = make([]byte, 1<<20)
			if diff := cmp.Diff(c.want, send(t, exchanger.New(codec{}, dial), &upstream{}, a)); diff != "" {
				t.Errorf("response (-want +got):\n%s", diff)
			}
		})
	}
}
