package exchanger

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"github.com/citronpier/citronpier/descriptor"
)

// readBuffer is the size of a connection's read buffer in bytes. It holds several
// events of a stream.
const readBuffer = 4 << 10

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	// header reads from the connection, and bounds what is read of a header. reader reads
	// from header.
	header *headerReader
	reader *bufio.Reader
	key    incarnationKey
	pool   *pool
	// usedBefore is true once the connection has carried a request and been returned
	// to the pool.
	usedBefore bool
	// notReusable is true if the connection cannot carry another request, for
	// example because a request or a response is incomplete.
	notReusable bool
	// misdeliveredSeen is true after a response to another request was skipped.
	misdeliveredSeen bool
	// expires is the time from which the idle connection may no longer be used,
	// because the upstream may close it soon afterwards.
	expires time.Time
	// idleSince is when the connection was last returned to the pool, and idleFor is
	// how long it was idle before its latest use.
	idleSince time.Time
	idleFor   time.Duration
}

// newConn returns a conn of a pool for an open connection.
func newConn(raw net.Conn, k incarnationKey, p *pool) *conn {
	header := &headerReader{source: raw}
	return &conn{Conn: raw, header: header, reader: bufio.NewReaderSize(header, readBuffer), key: k, pool: p}
}

// interrupt makes pending and later reads and writes fail at once.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// close closes the connection and no longer counts it towards the limit on open
// connections.
func (c *conn) close() {
	_ = c.Conn.Close()
	c.pool.releaseSlot(c.key)
}

// requestWrite is the write of one request, pending or finished.
type requestWrite struct {
	finished chan struct{}
	// bytes is the number of bytes that the operating system accepted. bytes and
	// err may be read only after finished is closed.
	bytes int
	err   error
}

// wait blocks until the write has finished and returns w.
func (w *requestWrite) wait() *requestWrite {
	<-w.finished
	return w
}

// unsent reports whether the write failed before the operating system accepted
// any byte. The write must have finished.
func (w *requestWrite) unsent() bool { return w.err != nil && w.bytes == 0 }

// hasFinished reports, without blocking, whether the write has finished.
func (w *requestWrite) hasFinished() bool {
	select {
	case <-w.finished:
		return true
	default:
		return false
	}
}

// startWrite writes a request. It returns after the write if the body is small,
// and otherwise at once, with the write going on in a goroutine.
func (c *conn) startWrite(r descriptor.Request, h http.Header) *requestWrite {
	w := &requestWrite{finished: make(chan struct{})}
	if len(r.Body) <= maxSyncBody {
		w.bytes, w.err = c.write(r, h)
		close(w.finished)
		return w
	}
	go func() {
		defer close(w.finished)
		w.bytes, w.err = c.write(r, h)
	}()
	return w
}

// write writes a request with header h in HTTP/1.1 format and returns the number
// of bytes that the operating system accepted.
func (c *conn) write(r descriptor.Request, h http.Header) (int, error) {
	head := make([]byte, 0, 1024)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	for name, values := range h {
		for _, v := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, v...)
			head = append(head, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	buffers := net.Buffers{head}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	n, err := buffers.WriteTo(c.Conn)
	return int(n), err
}

// noInputPending reports whether an idle connection has received nothing. Input
// would be either the end of the connection or bytes that belong to no request;
// in both cases the connection must not be used again.
func (c *conn) noInputPending() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, readErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = readErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
