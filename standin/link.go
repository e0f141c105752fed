package standin

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// A Link opens and tracks all connections of one simulated process, and injects
// faults into them. Kill simulates a crash of the process, and Pause simulates a
// paused process (SIGSTOP) until Resume. BlackHole makes the open connections
// silent, as when a firewall loses its connection table: no data arrives on them,
// and no error occurs. New connections work.
type Link struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	listen func(address string) (net.Listener, error)

	mu        sync.Mutex
	conns     map[*linkConn]struct{}
	listeners []net.Listener
	killed    bool
	// sent and received count the bytes over all connections.
	sent, received atomic.Int64
	// pauses counts the calls of Pause without a matching Resume.
	pauses int
	// resumed is closed while the process is not paused.
	resumed chan struct{}
}

// KilledError reports that a connection failed because its Link was killed.
type KilledError struct{}

// Error returns a fixed message.
func (*KilledError) Error() string { return "the process was killed" }

// NewLink returns a Link that opens connections and listeners with the given
// functions.
func NewLink(dial func(context.Context, string, string) (net.Conn, error),
	listen func(string) (net.Listener, error),
) *Link {
	resumed := make(chan struct{})
	close(resumed)
	return &Link{dial: dial, listen: listen, conns: make(map[*linkConn]struct{}), resumed: resumed}
}

// Dial opens a connection. It blocks while the process is paused. If the process
// was killed, it returns a net.OpError that wraps a KilledError.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	c, err := l.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.add(c)
}

// Listen opens a listener at an address. Accepted connections belong to the
// link.
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

// Bytes returns the number of bytes sent and received so far over all
// connections, including bytes that a fault then dropped.
func (l *Link) Bytes() (sent, received int64) { return l.sent.Load(), l.received.Load() }

// Kill closes every connection and listener, and makes further dials fail.
func (l *Link) Kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
	for c := range l.conns {
		c.unblockReads()
		_ = c.Conn.Close()
	}
	for _, inner := range l.listeners {
		_ = inner.Close()
	}
}

// Pause simulates a paused process until Resume: dials and reads block, and
// written data is buffered. Each Pause needs its own Resume.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses++
	if l.pauses == 1 {
		l.resumed = make(chan struct{})
	}
}

// Resume ends one Pause. If it ends the last Pause, it sends the buffered writes.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses--
	if l.pauses > 0 {
		return
	}
	close(l.resumed)
	for c := range l.conns {
		c.flush()
	}
}

// BlackHole makes every open connection permanently silent: writes are discarded
// and reads block until a deadline or Close. New connections work.
func (l *Link) BlackHole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.blackHole()
	}
}

// waitWhilePaused waits until the process is not paused. It returns an error if
// the process was killed before the call, or if ctx ends.
func (l *Link) waitWhilePaused(ctx context.Context) error {
	l.mu.Lock()
	resumed, killed := l.resumed, l.killed
	l.mu.Unlock()
	if killed {
		return &net.OpError{Op: "dial", Err: &KilledError{}}
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return &net.OpError{Op: "dial", Err: ctx.Err()}
	}
}

// add wraps a connection and tracks it. It closes the connection and returns an
// error if the process was killed.
func (l *Link) add(c net.Conn) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Err: &KilledError{}}
	}
	lc := &linkConn{Conn: c, link: l, blackHoled: make(chan struct{}), closed: make(chan struct{}), deadlinePassed: make(chan struct{})}
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

// linkConn is one connection of a Link.
type linkConn struct {
	net.Conn
	link *Link
	// blackHoled is closed when Link.BlackHole makes the connection silent.
	blackHoled chan struct{}
	// closed is closed by Close and by Link.Kill.
	closed        chan struct{}
	blackHoleOnce sync.Once
	closeOnce     sync.Once

	mu sync.Mutex
	// pendingWrites has the data written while the process was paused.
	pendingWrites []byte
	// deadlinePassed is closed if the most recent read deadline had already passed
	// when it was set. isPastDeadline reports whether deadlinePassed is closed.
	deadlinePassed chan struct{}
	isPastDeadline bool
}

func (c *linkConn) blackHole() { c.blackHoleOnce.Do(func() { close(c.blackHoled) }) }

// isBlackHoled reports whether Link.BlackHole made the connection silent.
func (c *linkConn) isBlackHoled() bool {
	select {
	case <-c.blackHoled:
		return true
	default:
		return false
	}
}

// paused reports whether the process is paused now, and returns a channel that
// is closed when the process is resumed.
func (c *linkConn) paused() (<-chan struct{}, bool) {
	c.link.mu.Lock()
	resumed := c.link.resumed
	c.link.mu.Unlock()
	select {
	case <-resumed:
		return resumed, false
	default:
		return resumed, true
	}
}

// Read reads from the connection. It blocks while the process is paused. On a
// connection made silent by Link.BlackHole it discards what arrives and blocks
// until Close or until a read deadline in the past is set.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.received.Add(int64(n))
	resumed, _ := c.paused()
	select {
	case <-resumed:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if !c.isBlackHoled() {
		return n, err
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.readExpired():
		return 0, os.ErrDeadlineExceeded
	}
}

// SetDeadline sets the deadlines of the connection. On a silent connection,
// only a deadline that has already passed ends a blocked Read.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.updateReadExpiry(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the read deadline. On a silent connection, only a
// deadline that has already passed ends a blocked Read.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.updateReadExpiry(t)
	return c.Conn.SetReadDeadline(t)
}

// updateReadExpiry closes deadlinePassed if t has passed. This ends a blocked Read
// of a silent connection. If t has not passed, updateReadExpiry replaces a closed
// deadlinePassed, so that later reads can block again.
func (c *linkConn) updateReadExpiry(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	past := !t.IsZero() && !t.After(time.Now())
	switch {
	case past && !c.isPastDeadline:
		c.isPastDeadline = true
		close(c.deadlinePassed)
	case !past && c.isPastDeadline:
		c.isPastDeadline = false
		c.deadlinePassed = make(chan struct{})
	}
}

// readExpired returns the current deadlinePassed channel.
func (c *linkConn) readExpired() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlinePassed
}

// Write writes to the connection. It buffers the data while the process is
// paused, and discards the data on a connection made silent by Link.BlackHole.
func (c *linkConn) Write(p []byte) (int, error) {
	c.link.sent.Add(int64(len(p)))
	_, paused := c.paused()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isBlackHoled():
		return len(p), nil
	case paused || len(c.pendingWrites) > 0:
		c.pendingWrites = append(c.pendingWrites, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// flush sends the data that was buffered during a pause.
func (c *linkConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingWrites) > 0 && !c.isBlackHoled() {
		_, _ = c.Conn.Write(c.pendingWrites)
	}
	c.pendingWrites = nil
}

// unblockReads ends every Read that is blocked by a pause or by Link.BlackHole.
func (c *linkConn) unblockReads() { c.closeOnce.Do(func() { close(c.closed) }) }

// Close closes the connection and drops it from the link.
func (c *linkConn) Close() error {
	c.unblockReads()
	c.link.remove(c)
	return c.Conn.Close()
}
