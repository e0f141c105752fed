package standin

import (
	"net"
	"net/http"
	"sync"
)

// A Server runs a stand-in's handler at an address and can be stopped and
// started again there, as a process that crashes and comes back.
type Server struct {
	handler http.Handler
	listen  func(address string) (net.Listener, error)

	mu      sync.Mutex
	address string
	server  *http.Server
	closed  bool
}

// Listen listens on the machine's own network.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// NewServer starts a handler at an address.
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

// Start listens again after a stop.
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

// Close stops the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Stop()
}

// Stop breaks every connection and refuses new ones.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.server = nil
}
