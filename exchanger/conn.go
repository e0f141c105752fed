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

// readBuffer is the size of a connection's read buffer in bytes: some events.
const readBuffer = 4 << 10

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	key    key
	pool   *pool
	// used says that the connection has carried a request before.
	used bool
	// unfinished says that the connection can't carry another request.
	unfinished bool
	// skipped says that an answer to another request arrived.
	skipped bool
	// expires is when the upstream may close the idle connection.
	expires time.Time
	// idleSince is when the connection was given back, and rested how long it was
	// idle before its last use.
	idleSince time.Time
	rested    time.Duration
}

// interrupt has reads and writes under way fail at once.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() {
	_ = c.Conn.Close()
	c.pool.closed(c.key)
}

// writing is the write of one request.
type writing struct {
	ended chan struct{}
	// bytes and err are set once ended is closed.
	bytes int
	err   error
}

// wait returns the write once it has ended.
func (w *writing) wait() *writing {
	<-w.ended
	return w
}

// unsent reports whether the write failed before the system took a byte.
func (w *writing) unsent() bool { return w.err != nil && w.bytes == 0 }

// done reports whether the write has ended.
func (w *writing) done() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}

// start begins to write a request.
func (c *conn) start(r descriptor.Request, h http.Header) *writing {
	w := &writing{ended: make(chan struct{})}
	if len(r.Body) <= eagerBody {
		w.bytes, w.err = c.write(r, h)
		close(w.ended)
		return w
	}
	go func() {
		defer close(w.ended)
		w.bytes, w.err = c.write(r, h)
	}()
	return w
}

// write writes a request and returns how many bytes the system took.
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

// read reads the header of the next answer, interim ones left out.
func (c *conn) read(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, readErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = readErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
