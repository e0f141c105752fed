package standin

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// A Link is all of one process's connections. It can be killed, as when the
// process dies; paused, as when the process stands still; or made to lose
// track of its open connections, while new ones work.
type Link struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	listen func(address string) (net.Listener, error)

	mu        sync.Mutex
	conns     map[*linkConn]struct{}
	listeners []net.Listener
	dead      bool
	// sent and received count bytes.
	sent, received atomic.Int64
	// pauses counts the pauses that have not ended.
	pauses int
	// gate is closed while the process runs.
	gate chan struct{}
}

// DeadError says that the process of a link was killed.
type DeadError struct{}

// Error describes the failure.
func (*DeadError) Error() string { return "the process is dead" }

// NewLink returns the link of a running process.
func NewLink(dial func(context.Context, string, string) (net.Conn, error),
	listen func(string) (net.Listener, error),
) *Link {
	gate := make(chan struct{})
	close(gate)
	return &Link{dial: dial, listen: listen, conns: make(map[*linkConn]struct{}), gate: gate}
}

// Dial opens a connection.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.pass(ctx); err != nil {
		return nil, err
	}
	c, err := l.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.add(c)
}

// Listen accepts connections at an address.
func (l *Link) Listen(address string) (net.Listener, error) {
	inner, err := l.listen(address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, inner)
	return &linkListener{Listener: inner, link: l}, nil
}

// Bytes returns how much was sent and received so far.
func (l *Link) Bytes() (sent, received int64) { return l.sent.Load(), l.received.Load() }

// Kill breaks every connection and refuses new ones.
func (l *Link) Kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
	for c := range l.conns {
		c.end()
		_ = c.Conn.Close()
	}
	for _, inner := range l.listeners {
		_ = inner.Close()
	}
}

// Pause holds everything back until Resume.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses++
	if l.pauses == 1 {
		l.gate = make(chan struct{})
	}
}

// Resume lets a paused process go on.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses--
	if l.pauses > 0 {
		return
	}
	close(l.gate)
	for c := range l.conns {
		c.flush()
	}
}

// Forget makes every open connection go silent for good. New ones work.
func (l *Link) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.forget()
	}
}

// pass waits while the process is paused.
func (l *Link) pass(ctx context.Context) error {
	l.mu.Lock()
	gate, dead := l.gate, l.dead
	l.mu.Unlock()
	if dead {
		return &net.OpError{Op: "dial", Err: &DeadError{}}
	}
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return &net.OpError{Op: "dial", Err: ctx.Err()}
	}
}

func (l *Link) add(c net.Conn) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Err: &DeadError{}}
	}
	lc := &linkConn{Conn: c, link: l, forgotten: make(chan struct{}), closed: make(chan struct{}), expired: make(chan struct{})}
	l.conns[lc] = struct{}{}
	return lc, nil
}

func (l *Link) remove(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

type linkListener struct {
	net.Listener
	link *Link
}

func (l *linkListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if lc, err := l.link.add(c); err == nil {
			return lc, nil
		}
	}
}

// linkConn is one connection of a link.
type linkConn struct {
	net.Conn
	link      *Link
	forgotten chan struct{}
	closed    chan struct{}
	forgets   sync.Once
	closes    sync.Once

	mu sync.Mutex
	// held is what was written while the process was paused.
	held []byte
	// expired is closed while a read deadline is past, as isExpired says.
	expired   chan struct{}
	isExpired bool
}

func (c *linkConn) forget() { c.forgets.Do(func() { close(c.forgotten) }) }

// lost reports whether the connection was lost track of.
func (c *linkConn) lost() bool {
	select {
	case <-c.forgotten:
		return true
	default:
		return false
	}
}

// paused returns a channel that is closed when the process runs, and whether
// it stands still now.
func (c *linkConn) paused() (<-chan struct{}, bool) {
	c.link.mu.Lock()
	gate := c.link.gate
	c.link.mu.Unlock()
	select {
	case <-gate:
		return gate, false
	default:
		return gate, true
	}
}

// Read reads what has arrived. It waits while the process is paused, and for
// ever on a connection that was lost track of.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.received.Add(int64(n))
	gate, _ := c.paused()
	select {
	case <-gate:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if !c.lost() {
		return n, err
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.expiry():
		return 0, os.ErrDeadlineExceeded
	}
}

// SetDeadline ends reads that wait, where the time is past.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.expire(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline ends reads that wait, where the time is past.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.expire(t)
	return c.Conn.SetReadDeadline(t)
}

// expire ends the reads of a connection that was lost track of where a deadline
// is past, and lets new ones wait where there is none.
func (c *linkConn) expire(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	past := !t.IsZero() && !t.After(time.Now())
	switch {
	case past && !c.isExpired:
		c.isExpired = true
		close(c.expired)
	case !past && c.isExpired:
		c.isExpired = false
		c.expired = make(chan struct{})
	}
}

// expiry returns a channel that is closed once the read deadline is past.
func (c *linkConn) expiry() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// Write sends. While the process is paused, what it writes is held back.
func (c *linkConn) Write(p []byte) (int, error) {
	c.link.sent.Add(int64(len(p)))
	_, paused := c.paused()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lost():
		return len(p), nil
	case paused || len(c.held) > 0:
		c.held = append(c.held, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// flush sends what was held back.
func (c *linkConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) > 0 && !c.lost() {
		_, _ = c.Conn.Write(c.held)
	}
	c.held = nil
}

// end lets go of those who wait on the connection.
func (c *linkConn) end() { c.closes.Do(func() { close(c.closed) }) }

// Close ends the connection.
func (c *linkConn) Close() error {
	c.end()
	c.link.remove(c)
	return c.Conn.Close()
}
