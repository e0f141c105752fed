package enforcer

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// roomTimeout is how long a write waits for room in the backlog if it has no deadline.
	roomTimeout = 10 * time.Second
	// roomPause is the time between two checks whether there is room.
	roomPause = 20 * time.Millisecond
	// maxRoomPause is what counts at most of the time between two checks.
	maxRoomPause = 2 * roomPause
	// takeTimeout is how long a reader may take nothing of a backlog.
	takeTimeout = 30 * time.Second
	// flushBytes is the size of a write from the backlog.
	flushBytes = 16 << 10
)

// SlowReaderError reports that the other side takes a response too slowly. The connection is
// reset, so that the response does not look complete.
type SlowReaderError struct{}

// Error implements the error interface.
func (*SlowReaderError) Error() string {
	return fmt.Sprintf("the caller takes its response too slowly: more than %d bytes wait, or there is no memory for them", maxBacklog)
}

// writer writes to a connection without waiting for its reader: what the operating system does
// not take at once is kept in a bounded backlog, which a goroutine writes.
type writer struct {
	conn     net.Conn
	raw      syscall.RawConn
	backlogs *Backlogs
	// closed is called when the connection is closed.
	closed func()
	// held is the memory of pending.
	held backlog

	mu sync.Mutex
	// room is signalled when pending has become shorter or err has been set.
	room sync.Cond
	// pending is the backlog, and flushing is set while a goroutine writes it.
	pending  bytes.Buffer
	flushing bool
	// closing is set once the connection is to be closed after pending was written.
	closing bool
	// deadline bounds the wait for room; zero means roomTimeout.
	deadline time.Time
	// err is the error of all later writes.
	err error
	// attempt is the write under way, which try makes. It is a field so that no write has to
	// allocate it.
	attempt struct {
		p   []byte
		n   int
		err error
	}
	try func(fd uintptr) bool
}

// newWriter returns the writer of a connection. It returns nil if the connection has no
// descriptor: its writes wait then.
func newWriter(c net.Conn, backlogs *Backlogs, closed func()) *writer {
	source, ok := c.(syscall.Conn)
	if !ok || backlogs == nil {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	w := &writer{conn: c, raw: raw, backlogs: backlogs, closed: closed}
	w.room.L = &w.mu
	w.held.end = w.cut
	w.try = w.writeAttempt
	return w
}

// writeAttempt writes what the operating system takes at once of the attempt. It returns true, so
// that nothing waits.
func (w *writer) writeAttempt(fd uintptr) bool {
	a := &w.attempt
	for a.n < len(a.p) {
		n, err := unix.Write(int(fd), a.p[a.n:])
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return true
		case err != nil:
			a.err = os.NewSyscallError("write", err)
			return true
		default:
			a.n += n
		}
	}
	return true
}

// write writes p, or keeps what is not taken at once. The error of a slow reader is a
// *SlowReaderError.
func (w *writer) write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	written := 0
	if !w.flushing {
		w.attempt.p, w.attempt.n, w.attempt.err = p, 0, nil
		err := w.raw.Write(w.try)
		if err == nil {
			err = w.attempt.err
		}
		written, w.attempt.p = w.attempt.n, nil
		if err != nil || written == len(p) {
			return written, err
		}
	}
	if err := w.keep(p[written:]); err != nil {
		return written, err
	}
	return len(p), nil
}

// keep adds p to the backlog as there is room. The caller must hold mu.
func (w *writer) keep(p []byte) error {
	patience := roomTimeout
	if !w.deadline.IsZero() {
		patience = time.Until(w.deadline)
	}
	for len(p) > 0 && w.err == nil {
		n := w.backlogs.grant(&w.held, int64(min(len(p), maxBacklog-w.pending.Len())), time.Now())
		if n == 0 && patience <= 0 {
			w.cutLocked()
			break
		}
		if n == 0 {
			patience -= w.awaitRoom()
			continue
		}
		_, _ = w.pending.Write(p[:n])
		p = p[n:]
		if !w.flushing {
			w.flushing = true
			go w.flush()
		}
	}
	return w.err
}

// awaitRoom waits until the backlog may have room, and returns for how long. Time in which the
// process did not run does not count: its reader may have room then. The caller must hold mu.
func (w *writer) awaitRoom() time.Duration {
	began := time.Now()
	timer := time.AfterFunc(roomPause, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.room.Broadcast()
	})
	defer timer.Stop()
	w.room.Wait()
	return min(time.Since(began), maxRoomPause)
}

// flush writes the backlog until it is empty or the writer has failed.
func (w *writer) flush() {
	part := make([]byte, flushBytes)
	for {
		w.mu.Lock()
		n := copy(part, w.pending.Bytes())
		if n == 0 || w.err != nil {
			w.endFlush()
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_ = w.conn.SetWriteDeadline(time.Now().Add(takeTimeout))
		taken, err := w.conn.Write(part[:n])
		w.taken(taken, err)
	}
}

// taken removes what was written from the backlog. A reader that takes nothing in time is cut off.
func (w *writer) taken(n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.pending.Next(n)
		w.backlogs.take(&w.held, n, time.Now())
	}
	if err != nil && n == 0 {
		w.cutLocked()
	}
	w.room.Broadcast()
}

// endFlush ends the writing of the backlog, and closes the connection if that is due. The caller
// must hold mu.
func (w *writer) endFlush() {
	w.flushing = false
	w.pending = bytes.Buffer{}
	_ = w.conn.SetWriteDeadline(time.Time{})
	if w.closing {
		_ = w.closeNow()
	}
}

// cut ends the connection with a reset and drops the backlog.
func (w *writer) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutLocked()
}

// cutLocked does what cut does. The caller must hold mu.
func (w *writer) cutLocked() {
	if w.err != nil {
		return
	}
	w.err = &SlowReaderError{}
	w.pending = bytes.Buffer{}
	w.backlogs.drop(&w.held)
	if tcp, ok := w.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = w.closeNow()
	w.room.Broadcast()
}

// close closes the connection, once the backlog was written.
func (w *writer) close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.flushing && w.err == nil {
		w.closing = true
		return nil
	}
	return w.closeNow()
}

// closeNow closes the connection.
func (w *writer) closeNow() error {
	w.closed()
	return w.conn.Close()
}

// waits reports whether there is a backlog.
func (w *writer) waits() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flushing
}

// setDeadline bounds the wait for room of later writes.
func (w *writer) setDeadline(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
}
