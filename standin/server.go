package standin

import (
	"net"
	"net/http"
	"sync"
)

// A Server serves an HTTP handler at an address. It can be stopped and started
// again at the same address, which simulates a process that crashes and
// restarts.
type Server struct {
	handler http.Handler
	listen  func(address string) (net.Listener, error)

	mu      sync.Mutex
	address string
	server  *http.Server
	closed  bool
}

// Listen listens on a TCP address of the local machine.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// NewServer returns a running server for a handler. The server calls the function
// listen at each start. At later starts it passes the address that the first
// listener reported.
func NewServer(address string, handler http.Handler, listen func(string) (net.Listener, error)) (*Server, error) {
	s := &Server{handler: handler, listen: listen, address: address}
	if err := s.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start makes a stopped server listen again. It does nothing if the server is
// running or was closed.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil || s.closed {
		return nil
	}
	l, err := s.listen(s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s.handler}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	return nil
}

// Close stops the server permanently: Start no longer has an effect.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Stop()
}

// Stop closes the listener and every connection at once.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
}
