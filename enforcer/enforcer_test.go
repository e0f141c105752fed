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

// pipes is a listener of in-memory connections.
type pipes struct{ conns chan net.Conn }

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (pipes) Close() error   { return nil }
func (pipes) Addr() net.Addr { return &net.TCPAddr{} }

// How long a server of net/http keeps a connection in each phase, in its own time.
func TestLimits(t *testing.T) {
	limits := Limits{Header: 3 * time.Second, Idle: 10 * time.Second}
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, sent string
		handler    time.Duration
		limits     Limits
		want       time.Duration
	}{
		{"nothing sent", "", 0, limits, 3 * time.Second},
		{"half a header", "GET / HTTP/1.1\r\n", 0, limits, 3 * time.Second},
		{"idle after a request", whole, 0, limits, 10 * time.Second},
		{"a long request is no idle time", whole, time.Minute, limits, 70 * time.Second},
		{"half a header after a request", whole + "GET /", 0, limits, 3 * time.Second},
		{"no limits", whole, 0, Limits{}, 2 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := pipes{conns: make(chan net.Conn, 1)}
				s := &http.Server{
					Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(c.handler) }),
					ReadHeaderTimeout: time.Minute, IdleTimeout: 2 * time.Minute, ConnState: State,
				}
				go func() { _ = s.Serve(Listener{Listener: p, Limits: func() Limits { return c.limits }}) }()
				ours, theirs := net.Pipe()
				p.conns <- theirs
				began := time.Now()
				go func() { _, _ = io.WriteString(ours, c.sent) }()
				_, _ = io.Copy(io.Discard, ours)
				if diff := cmp.Diff(c.want, time.Since(began).Truncate(time.Second)); diff != "" {
					t.Errorf("closed after (-want +got):\n%s", diff)
				}
				close(p.conns)
				_ = s.Close()
			})
		})
	}
}
