package standin

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// A Memory is an in-memory network of streams and datagrams. Tests in a synctest
// bubble use it because a goroutine that waits on a real socket stops the
// bubble's clock. The zero value has no listeners.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	packets   map[string]*MemoryPacket
}

// Address returns the address of port n on the network's only IP address.
func (m *Memory) Address(n int) string { return net.JoinHostPort("10.0.0.1", strconv.Itoa(n)) }

// Listen opens a stream listener at an address. It returns a net.OpError that
// wraps EADDRINUSE if the address already has a listener.
func (m *Memory) Listen(address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = make(map[string]*memoryListener)
	}
	if _, taken := m.listeners[address]; taken {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &memoryListener{network: m, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// Dial opens a stream connection to an address. It blocks until the listener
// accepts the connection. If the address has no listener, it returns a
// net.OpError that wraps ECONNREFUSED.
func (m *Memory) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l, ok := m.listeners[address]
	m.mu.Unlock()
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	if !ok {
		return nil, refused
	}
	near, far := net.Pipe()
	accepted := newMemoryConn(far, address)
	select {
	case l.accepted <- accepted:
		return newMemoryConn(near, address), nil
	case <-l.closed:
		_ = accepted.Close()
		return nil, refused
	case <-ctx.Done():
		_ = accepted.Close()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
}

type memoryListener struct {
	network  *Memory
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

func (a memoryAddr) Network() string { return "tcp" }
func (a memoryAddr) String() string  { return string(a) }

// memoryConn is one end of a pipe whose writes never block. The write buffer is
// unlimited, unlike a socket's write buffer.
type memoryConn struct {
	net.Conn
	address string
	// wake tells pump that the fields queue or closed have changed.
	wake chan struct{}

	mu    sync.Mutex
	queue []byte
	// writing reports whether pump is writing data that it took from the queue.
	writing bool
	closed  bool
}

func newMemoryConn(c net.Conn, address string) *memoryConn {
	m := &memoryConn{Conn: c, address: address, wake: make(chan struct{}, 1)}
	go m.pump()
	return m
}

// pump writes the queued data to the pipe. After Close it writes the rest of
// the queue before it closes the pipe.
func (c *memoryConn) pump() {
	for range c.wake {
		for {
			data, closed := c.takeQueued()
			if len(data) > 0 {
				if _, err := c.Conn.Write(data); err != nil {
					return
				}
				continue
			}
			if closed {
				_ = c.Conn.Close()
				return
			}
			break
		}
	}
}

func (c *memoryConn) takeQueued() (data []byte, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, c.queue = c.queue, nil
	c.writing = len(data) > 0
	return data, c.closed
}

func (c *memoryConn) wakePump() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Write queues data and returns at once.
func (c *memoryConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, p...)
	c.wakePump()
	return len(p), nil
}

// Close closes the connection after the queued data is written.
func (c *memoryConn) Close() error {
	c.mu.Lock()
	c.closed = true
	pending := len(c.queue) > 0 || c.writing
	c.mu.Unlock()
	if !pending {
		_ = c.Conn.Close()
	}
	c.wakePump()
	return nil
}

// LocalAddr returns the address that was dialled. Both ends of a connection return
// the same address.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddr(c.address) }

// RemoteAddr returns the address that was dialled. Both ends of a connection return
// the same address.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.address) }

// A MemoryPacket is a datagram socket of a Memory.
type MemoryPacket struct {
	network *Memory
	address string
	arrived chan datagram
	closed  chan struct{}
	once    sync.Once
	// Cut, if not nil, is called for each datagram that the socket sends or
	// receives. If Cut returns true, the datagram is dropped. Set Cut before the
	// socket is used.
	Cut func() bool
}

// datagram is one datagram and its sender's address.
type datagram struct {
	data []byte
	from string
}

// maxQueuedDatagrams is the size of a socket's receive buffer, in datagrams. As
// with UDP, datagrams that arrive while the buffer is full are dropped.
const maxQueuedDatagrams = 1024

// ListenPacket opens a datagram socket at an address. It returns a net.OpError
// that wraps EADDRINUSE if the address already has a datagram socket.
func (m *Memory) ListenPacket(address string) (*MemoryPacket, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.packets == nil {
		m.packets = make(map[string]*MemoryPacket)
	}
	if _, taken := m.packets[address]; taken {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	p := &MemoryPacket{
		network: m, address: address, arrived: make(chan datagram, maxQueuedDatagrams), closed: make(chan struct{}),
	}
	m.packets[address] = p
	return p, nil
}

func (p *MemoryPacket) dropsTraffic() bool { return p.Cut != nil && p.Cut() }

// ReadFrom waits for a datagram. It returns net.ErrClosed once the socket is
// closed.
func (p *MemoryPacket) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		select {
		case d := <-p.arrived:
			if p.dropsTraffic() {
				continue
			}
			return copy(b, d.data), memoryAddr(d.from), nil
		case <-p.closed:
			return 0, nil, net.ErrClosed
		}
	}
}

// WriteTo sends one datagram. As with UDP, it returns no error if the datagram
// is dropped.
func (p *MemoryPacket) WriteTo(b []byte, to net.Addr) (int, error) {
	if p.dropsTraffic() {
		return len(b), nil
	}
	p.network.mu.Lock()
	target := p.network.packets[to.String()]
	p.network.mu.Unlock()
	if target == nil {
		return len(b), nil
	}
	select {
	case target.arrived <- datagram{data: append([]byte(nil), b...), from: p.address}:
	default:
	}
	return len(b), nil
}

// Close closes the socket and frees its address.
func (p *MemoryPacket) Close() error {
	p.once.Do(func() {
		close(p.closed)
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		delete(p.network.packets, p.address)
	})
	return nil
}

// LocalAddr returns the socket's address.
func (p *MemoryPacket) LocalAddr() net.Addr { return memoryAddr(p.address) }

// SetDeadline, SetReadDeadline and SetWriteDeadline do nothing.
func (p *MemoryPacket) SetDeadline(time.Time) error      { return nil }
func (p *MemoryPacket) SetReadDeadline(time.Time) error  { return nil }
func (p *MemoryPacket) SetWriteDeadline(time.Time) error { return nil }
