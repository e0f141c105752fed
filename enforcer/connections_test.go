package enforcer

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// accept accepts a connection and puts it into a phase.
func accept(t *testing.T, l Listener, source pipeListener, p phase) *conn {
	t.Helper()
	_, server := net.Pipe()
	source.conns <- server
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.(*conn).setPhase(p, time.Now())
	time.Sleep(time.Second)
	return c.(*conn)
}

// Connections beyond the bound take all descriptors, or a connection with a request is closed
// while others are idle.
func TestSurplusConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var relieved *conn
		relieve := func(time.Time) bool { return relieved.Close() == nil }
		source := pipeListener{conns: make(chan net.Conn, 1)}
		l := Listener{Listener: source, Limits: func() Limits { return Limits{} }, Connections: NewConnections(4, relieve)}
		request, header := accept(t, l, source, inRequest), accept(t, l, source, awaitingHeader)
		idleFirst, idleSecond := accept(t, l, source, idle), accept(t, l, source, idle)
		isOpen := func(c *conn) bool { return contains(l.Connections, c) }
		for i, want := range [][]bool{{true, true, false, true}, {true, true, false, false}, {true, false, false, false}} {
			accept(t, l, source, inRequest)
			got := []bool{isOpen(request), isOpen(header), isOpen(idleFirst), isOpen(idleSecond)}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("open after %d more (-want +got):\n%s", i+1, diff)
			}
		}
		relieved = request
		accept(t, l, source, inRequest)
		if diff := cmp.Diff([]any{false, 4}, []any{isOpen(request), l.Connections.Open()}); diff != "" {
			t.Errorf("slow request, connections (-want +got):\n%s", diff)
		}
	})
}

func contains(c *Connections, wanted *conn) bool {
	_, ok := c.open[wanted]
	return ok
}
