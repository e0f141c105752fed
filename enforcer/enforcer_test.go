package enforcer

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// pipeListener is a listener of in-memory connections.
type pipeListener struct{ conns chan net.Conn }

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (pipeListener) Close() error   { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A net/http server must close a connection when the time limit of its current phase
// (reading a header, or idle) has passed. If no limit is set, the server's own longer
// timeout applies. The synctest bubble's fake clock makes the measured times exact.
func TestLimits(t *testing.T) {
	limits := Limits{Header: 3 * time.Second, Idle: 10 * time.Second}
	const fullRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, sent string
		handler    time.Duration
		limits     Limits
		want       time.Duration
	}{
		{"nothing sent", "", 0, limits, 3 * time.Second},
		{"half a header", "GET / HTTP/1.1\r\n", 0, limits, 3 * time.Second},
		{"idle after a request", fullRequest, 0, limits, 10 * time.Second},
		{"a long request is no idle time", fullRequest, time.Minute, limits, 70 * time.Second},
		{"half a header after a request", fullRequest + "GET /", 0, limits, 3 * time.Second},
		{"no limits", fullRequest, 0, Limits{}, 2 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := pipeListener{conns: make(chan net.Conn, 1)}
				s := &http.Server{
					Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(c.handler) }),
					ReadHeaderTimeout: time.Minute, IdleTimeout: 2 * time.Minute, ConnState: ConnState,
				}
				go func() { _ = s.Serve(Listener{Listener: listener, Limits: func() Limits { return c.limits }}) }()
				clientConn, serverConn := net.Pipe()
				listener.conns <- serverConn
				started := time.Now()
				go func() { _, _ = io.WriteString(clientConn, c.sent) }()
				_, _ = io.Copy(io.Discard, clientConn)
				if diff := cmp.Diff(c.want, time.Since(started).Truncate(time.Second)); diff != "" {
					t.Errorf("closed after (-want +got):\n%s", diff)
				}
				close(listener.conns)
				_ = s.Close()
			})
		})
	}
}
