package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/server"
)

// uncounted counts no refusals.
type uncounted struct{ server.Commands }

func (uncounted) CountRefused(refuser.Reason) {}

// sendBody sends the head of a request and a part of its body, and returns the connection.
func sendBody(t *testing.T, address string, declared, sent int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprintf(c, "POST /v1/programs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer deepam-demo-key\r\nContent-Length: %d\r\n\r\n", declared)
	_, _ = c.Write(make([]byte, sent))
	return c
}

// Bodies that stop just short of their end take all memory, or leave none for others.
func TestUnfinishedBodiesShareTheirMemory(t *testing.T) {
	const limit, clients = 1 << 20, 20
	rules, err := parser.Parser{}.Parse(examples.Demo)
	if err != nil {
		t.Fatal(err)
	}
	bodies := &allocator.Bodies{Bytes: 2 * limit}
	s, err := server.New(server.Config{Commands: uncounted{}, Queries: queries{rules: rules.WithVersion(1)}, MaxBody: limit, Bodies: bodies})
	if err != nil {
		t.Fatal(err)
	}
	front := httptest.NewServer(s)
	t.Cleanup(front.Close)
	address := front.Listener.Addr().String()
	for range clients {
		sendBody(t, address, limit, limit-1)
	}
	if used := bodies.Used(); used > 2*limit+clients*allocator.FreeBodyBytes {
		t.Errorf("%d bytes are held of %d", used, 2*limit)
	}
	var got []int
	for _, declared := range []int{limit + 1, 4} {
		got = append(got, statusOf(t, sendBody(t, address, declared, min(declared, 4))))
	}
	if diff := cmp.Diff([]int{http.StatusRequestEntityTooLarge, http.StatusBadRequest}, got); diff != "" {
		t.Errorf("too large, small (-want +got):\n%s", diff)
	}
}

// statusOf returns the status of the next response.
func statusOf(t *testing.T, c net.Conn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
