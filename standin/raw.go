package standin

import (
	"bufio"
	"net"
	"net/http"
	"sync"
)

// RawServer answers requests with bytes that need not be HTTP. It reads the head of a request
// before the answer, and not its body.
type RawServer struct {
	listener net.Listener
	answer   func(c net.Conn, r *http.Request) (open bool)

	mu sync.Mutex
	// connections are the open connections; nil once the server is closed.
	connections map[net.Conn]bool
}

// NewRawServer starts a server on the loopback interface. answer writes the answer to a request
// and reports whether the connection stays open; the body of the request can be read then.
func NewRawServer(answer func(c net.Conn, r *http.Request) (open bool)) (*RawServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, answer: answer, connections: make(map[net.Conn]bool)}
	go s.accept()
	return s, nil
}

// Address returns the address of the server, host:port.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *RawServer) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.Close()
	}
	s.connections = nil
	return s.listener.Close()
}

// accept serves connections until the server is closed.
func (s *RawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve answers the requests of one connection.
func (s *RawServer) serve(c net.Conn) {
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
func (s *RawServer) begin(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		return false
	}
	s.connections[c] = true
	return true
}

// end closes a connection.
func (s *RawServer) end(c net.Conn) {
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
