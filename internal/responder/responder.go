// Package responder is a server for tests whose answers need not be HTTP.
package responder

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Answer writes the answer to a request and reports whether the connection stays open. The head
// of the request was read, and its body can be.
type Answer = func(c net.Conn, r *http.Request) (open bool)

// Serve answers requests on the loopback interface until the test ends, and returns the address,
// host:port.
func Serve(t testing.TB, answer Answer) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener, answer: answer, connections: make(map[net.Conn]bool)}
	t.Cleanup(s.close)
	go s.accept()
	return listener.Addr().String()
}

// server serves the connections of one listener.
type server struct {
	listener net.Listener
	answer   Answer

	mu sync.Mutex
	// connections are the open connections; nil once the server is closed.
	connections map[net.Conn]bool
}

// close stops the server and closes its connections.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.connections {
		_ = c.Close()
	}
	s.connections = nil
}

// accept serves connections until the server is closed.
func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve answers the requests of one connection.
func (s *server) serve(c net.Conn) {
	defer s.end(c)
	if !s.begin(c) {
		return
	}
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !s.answer(c, r) {
			return
		}
	}
}

// begin keeps an open connection. It returns false if the server is closed.
func (s *server) begin(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		return false
	}
	s.connections[c] = true
	return true
}

// end closes a connection.
func (s *server) end(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = c.Close()
	delete(s.connections, c)
}

// Reset makes the operating system reset a TCP connection when it is closed, and returns false:
// an answer ends with return Reset(c) to have its connection reset.
func Reset(c net.Conn) bool {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}
