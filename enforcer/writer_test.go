package enforcer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testResponse = 32 << 20

// serveSlowReaders serves responses of testResponse bytes, as streams or with a known length, on
// connections whose writers share backlogs. patience bounds the wait of each write, and written
// gets the error of each response.
func serveSlowReaders(t *testing.T, backlogs *Backlogs, stream bool, patience time.Duration) (address string, written chan error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	written = make(chan error, 100)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, ConnState: ConnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { written <- writeResponse(w, stream, patience) }),
	}
	go func() {
		_ = server.Serve(Listener{Listener: l, Limits: func() Limits { return Limits{} }, Backlogs: backlogs})
	}()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), written
}

func writeResponse(w http.ResponseWriter, stream bool, patience time.Duration) error {
	if !stream {
		w.Header().Set("Content-Length", "33554432")
	}
	controller, piece := http.NewResponseController(w), make([]byte, 32<<10)
	for range testResponse / len(piece) {
		_ = controller.SetWriteDeadline(time.Now().Add(patience))
		if _, err := w.Write(piece); err != nil {
			return err
		}
		if err := controller.Flush(); stream && err != nil {
			return err
		}
	}
	return nil
}

// get requests a response and returns the connection, with nothing read.
func get(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// A caller that reads nothing holds its upstream or the host's memory without end, or takes its
// response, which was cut off, for a complete one.
func TestUnreadResponseIsCutOff(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "plain": false} {
		t.Run(name, func(t *testing.T) {
			backlogs := &Backlogs{}
			address, written := serveSlowReaders(t, backlogs, stream, 100*time.Millisecond)
			c := get(t, address)
			var slow *SlowReaderError
			if err := <-written; !errors.As(err, &slow) {
				t.Errorf("write: %v", err)
			}
			if used, _ := backlogs.Used(); used != 0 {
				t.Errorf("%d bytes are held after the end", used)
			}
			if n, err := readResponse(c); err == nil {
				t.Errorf("response looks complete after %d bytes", n)
			}
		})
	}
}

// readResponse reads a response to its end.
func readResponse(c net.Conn) (int64, error) {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return io.Copy(io.Discard, res.Body)
}

// A response that is read more slowly than it is written is cut off or damaged.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	address, written := serveSlowReaders(t, &Backlogs{}, true, 10*time.Second)
	c := get(t, address)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for piece := make([]byte, 1<<20); err == nil; time.Sleep(10 * time.Millisecond) {
		var n int
		n, err = io.ReadFull(res.Body, piece)
		total += n
	}
	if diff := cmp.Diff([]any{testResponse, nil}, []any{total, <-written}); diff != "" {
		t.Errorf("bytes, error of the write (-want +got):\n%s", diff)
	}
}

// Many slow readers together take more memory than there is, or a reader that makes progress is
// cut off for those that make none.
func TestBacklogsGiveWayToReadersThatProgress(t *testing.T) {
	const size = 1 << 20
	backlogs, start := &Backlogs{Bytes: size}, time.Unix(1000, 0)
	ended := make(chan int, 10)
	open := make([]*backlog, 10)
	for i := range open {
		open[i] = &backlog{end: func() { ended <- i }}
		now := start.Add(time.Duration(i) * time.Millisecond)
		backlogs.grant(open[i], maxBacklog, now)
	}
	if used, _ := backlogs.Used(); used > size+int64(len(open))*flushBytes {
		t.Errorf("%d bytes are held of %d", used, size)
	}
	later := start.Add(2 * slowAfter)
	backlogs.take(open[0], 1, later)
	if granted := backlogs.grant(&backlog{}, maxBacklog, later); granted != maxBacklog {
		t.Errorf("granted %d", granted)
	}
	if first := <-ended; first == 0 {
		t.Error("the reader that makes progress was cut off")
	}
}
