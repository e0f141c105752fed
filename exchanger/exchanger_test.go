package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/internal/responder"
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
					return responder.Reset(c)
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
