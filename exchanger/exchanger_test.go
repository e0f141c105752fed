package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
)

// codec is the exchanger.Codec of the test upstreams: the header Id carries the
// request id, Not-Run marks a request that was not run, and Unproved marks a
// response that does not prove that an upstream produced it.
type codec struct{}

func (codec) Header(a exchanger.Attempt, _ descriptor.Upstream) http.Header {
	return http.Header{"Id": {a.Request.ID}}
}
func (codec) RequestID(h http.Header) string        { return h.Get("Id") }
func (codec) NotRun(status int, h http.Header) bool { return h.Get("Not-Run") != "" || status == 421 }
func (codec) HasStamp(h http.Header) bool           { return h.Get("Unproved") == "" }
func (codec) Notice(http.Header) exchanger.Notice   { return exchanger.Notice{} }

// upstream is a TCP server whose responses are written by a function of the test.
type upstream struct {
	listener net.Listener
	// requests counts the requests that were answered and whose bodies were read.
	requests atomic.Int64
	// connections counts the accepted connections.
	connections atomic.Int64
}

// serve starts an upstream. It calls script for each request, with the request's
// number on its connection, counted from 0. The script writes the response to c and
// returns whether to keep the connection open.
func serve(t *testing.T, script func(c net.Conn, r *http.Request, number int) bool) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			go u.handle(c, script)
		}
	}()
	return u
}

// handle serves one connection until it ends or script returns false.
func (u *upstream) handle(c net.Conn, script func(c net.Conn, r *http.Request, number int) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for number := 0; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !script(c, r, number) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.requests.Add(1)
	}
}

func (u *upstream) descriptor() descriptor.Upstream {
	address := "192.0.2.1:80"
	if u.listener != nil {
		address = u.listener.Addr().String()
	}
	return descriptor.Upstream{ID: "u", Address: address}
}

// reply writes a complete response to the request with the given id.
func reply(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// reset makes the operating system send a TCP reset when c is closed. It returns
// false, so that a response function passed to serve can end with "return reset(c)"
// to have c closed.
func reset(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

func newAttempt(id, method string) exchanger.Attempt {
	a := exchanger.Attempt{Request: descriptor.Request{ID: id, Method: method, Target: "/x?y=1", Host: "h"}}
	if method == http.MethodPost {
		a.Request.Body = []byte("body of " + id)
	}
	return a
}

// send sends one request and returns the body of the response, or the failureKind of
// the error.
func send(t *testing.T, e *exchanger.Exchanger, u *upstream, a exchanger.Attempt) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := e.Send(ctx, u.descriptor(), a, time.Now())
	if err != nil {
		return failureKind(err)
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	if err != nil {
		return failureKind(err)
	}
	return string(body)
}

// failureKind returns a short name of the type of an error of Send.
func failureKind(err error) string {
	var unsent *connector.UnsentError
	var notRun *exchanger.NotRunError
	var incomplete *exchanger.IncompleteError
	switch {
	case errors.As(err, &unsent):
		return "unsent"
	case errors.As(err, &notRun):
		return "not run"
	case errors.As(err, &incomplete):
		return "incomplete"
	default:
		return err.Error()
	}
}

func newExchanger() *exchanger.Exchanger {
	return exchanger.New(codec{}, exchanger.NewDial(exchanger.UnackedUpstream))
}

// If the upstream resets a reused connection, the request on it is not sent
// again, not even for an idempotent method.
func TestNoRetryAfterReset(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var arrived atomic.Int64
			u := serve(t, func(c net.Conn, r *http.Request, number int) bool {
				arrived.Add(1)
				if number == 1 {
					return reset(c)
				}
				reply(c, r.Header.Get("Id"), "ok")
				return true
			})
			e := newExchanger()
			got := []string{send(t, e, u, newAttempt("1", method)), send(t, e, u, newAttempt("2", method))}
			if diff := cmp.Diff([]string{"ok", "incomplete"}, got); diff != "" {
				t.Errorf("responses (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(int64(2), arrived.Load()); diff != "" {
				t.Errorf("requests that arrived (-want +got):\n%s", diff)
			}
		})
	}
}

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
		return reset(c)
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

// An upstream may answer before it has read all of a long body. Send returns the
// response, and the connection is not used for another request.
func TestEarlyResponse(t *testing.T) {
	block := make(chan struct{})
	u := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
		reply(c, r.Header.Get("Id"), "early")
		<-block
		return false
	})
	defer close(block)
	e := newExchanger()
	a := newAttempt("1", http.MethodPost)
	a.Request.Body = []byte(strings.Repeat("x", 32<<20))
	got := []string{send(t, e, u, a)}
	got = append(got, send(t, e, u, newAttempt("2", http.MethodPost)))
	if diff := cmp.Diff([]string{"early", "early"}, got); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(2), u.connections.Load()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
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

// If the connection is refused, the error states that nothing was sent.
func TestUnsent(t *testing.T) {
	u := serve(t, func(net.Conn, *http.Request, int) bool { return false })
	_ = u.listener.Close()
	if diff := cmp.Diff("unsent", send(t, newExchanger(), u, newAttempt("1", http.MethodPost))); diff != "" {
		t.Errorf("failure (-want +got):\n%s", diff)
	}
}

// A connection to one incarnation of an upstream is not used for the next
// incarnation at the same address.
func TestIncarnationsShareNoConnection(t *testing.T) {
	u := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
		reply(c, r.Header.Get("Id"), "ok")
		return true
	})
	e := newExchanger()
	for incarnation := range int64(2) {
		target := u.descriptor()
		target.Incarnation = incarnation
		response, err := e.Send(t.Context(), target, newAttempt("1", http.MethodGet), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response)
		response.Close()
	}
	if diff := cmp.Diff(int64(2), u.connections.Load()); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// While the only allowed connection is in use, a second request fails without being
// sent.
func TestLimit(t *testing.T) {
	block := make(chan struct{})
	u := serve(t, func(_ net.Conn, _ *http.Request, _ int) bool {
		<-block
		return false
	})
	defer close(block)
	e := newExchanger().WithLimit(1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = e.Send(ctx, u.descriptor(), newAttempt("1", http.MethodGet), time.Now()) }()
	for u.connections.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if diff := cmp.Diff("unsent", send(t, e, u, newAttempt("2", http.MethodGet))); diff != "" {
		t.Errorf("failure (-want +got):\n%s", diff)
	}
	cancel()
}

// dialPipes returns a dialer whose connections are served by script in virtual time.
func dialPipes(u *upstream, script func(c net.Conn, r *http.Request, number int) bool) connector.Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		u.connections.Add(1)
		go u.handle(far, script)
		return near, nil
	}
}

// If an upstream has dropped an idle connection, the request that reuses the
// connection is lost. After that loss, connections that have been idle for as long
// are replaced instead of reused, so no further request is lost. A connection that
// ends later than idleLossWindow after the send was not dropped while it was idle:
// the next one that was idle as long is used again.
func TestDroppedIdleConnections(t *testing.T) {
	const idleFor = 100 * time.Millisecond
	for _, c := range []struct {
		closesAfter time.Duration
		want        []string
	}{
		{0, []string{"ok", "incomplete", "ok", "ok"}},
		{24 * time.Millisecond, []string{"ok", "incomplete", "ok", "ok"}},
		{30 * time.Millisecond, []string{"ok", "incomplete", "ok", "incomplete"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			u := &upstream{}
			e := exchanger.New(codec{}, dialPipes(u, func(conn net.Conn, r *http.Request, number int) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				if number > 0 {
					time.Sleep(c.closesAfter)
					return false
				}
				reply(conn, r.Header.Get("Id"), "ok")
				return true
			}))
			var got []string
			for i := range 4 {
				got = append(got, send(t, e, u, newAttempt(fmt.Sprint(i), http.MethodPost)))
				time.Sleep(idleFor)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("upstream closes after %s, responses (-want +got):\n%s", c.closesAfter, diff)
			}
			e.Close()
		})
	}
}
