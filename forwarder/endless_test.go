package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/descriptor"
)

const (
	// endlessResponses is the number of endless responses that a host gets at once.
	endlessResponses = 400
	// endlessMemory is the memory for responses, and endlessHeap what may be in use with it:
	// buffers are copied when they grow, and connections have buffers of their own.
	endlessMemory = 8 << 20
	endlessHeap   = 64 << 20
	// endlessTime is how long callers send.
	endlessTime = 600 * time.Millisecond
	// endlessPause is the time after which a caller comes again.
	endlessPause = 50 * time.Millisecond
)

// piecesPerWrite is the number of pieces of an endless response that are written at once.
const piecesPerWrite = 16

// endless returns a script that sends a head and then a piece again and again, until the
// connection is closed. It stands still once it has sent most bytes.
func endless(head, piece string, most int) script {
	pieces := []byte(strings.Repeat(piece, piecesPerWrite))
	return func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(head, "{id}", r.Header.Get("Id")))
		for sent := 0; err == nil && sent+len(pieces) < most; sent += len(pieces) {
			_, err = c.Write(pieces)
		}
		return hang(c, r)
	}
}

// watchHeap returns the most memory that objects in use take on the heap, in bytes, as the
// garbage collector finds until the context ends.
func watchHeap(ctx context.Context) uint64 {
	var largest uint64
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	for ctx.Err() == nil {
		metrics.Read(live)
		largest = max(largest, live[0].Value.Uint64())
		time.Sleep(20 * time.Millisecond)
	}
	return largest
}

// Faulty upstreams send bytes without end on many connections at once: the host runs out of
// memory, or normal requests beside them fail.
func TestEndlessResponsesTakeTheMemoryOfAllRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector takes memory of its own")
	}
	const status = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
	stream, retained, call := descriptor.Stream{}, descriptor.Stream{Retain: true, Retention: time.Minute}, descriptor.Once{}
	event := "data: " + strings.Repeat("x", 2000) + "\n\n"
	for _, c := range []struct {
		name        string
		kind        descriptor.Kind
		head, piece string
		// bound is the number of bytes that a host keeps of one such response.
		bound int
	}{
		{"head", call, status, "X: " + strings.Repeat("x", 1000) + "\r\n", 256 << 10},
		{"field of a head", call, status + "X: ", strings.Repeat("x", 1000), 256 << 10},
		{"interim responses", call, "", "HTTP/1.1 102 Processing\r\nX: " + strings.Repeat("x", 1000) + "\r\n\r\n", 256 << 10},
		{"body with a length", call, status + "Content-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 1000), 256 << 10},
		{"body in chunks", call, status + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n", 256 << 10},
		{"body without a length", call, status + "\r\n", strings.Repeat("x", 1000), 256 << 10},
		{"body of an error", stream, "HTTP/1.1 500 Failed\r\nId: {id}\r\n\r\n", strings.Repeat("x", 1000), 256 << 10},
		{"body of a refusal", call, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n", strings.Repeat("x", 1000), 256 << 10},
		{"one event", stream, status + "\r\n", "data: " + strings.Repeat("x", 1000) + "\n", 1 << 20},
		{"events", stream, status + "\r\n", event, 1 << 20},
		{"events of a retained turn", retained, status + "\r\n", event, 8 << 20},
	} {
		for name, most := range map[string]int{"without end": math.MaxInt, "standing still": c.bound} {
			t.Run(c.name+" "+name, func(t *testing.T) { serveBesideEndless(t, c.kind, endless(c.head, c.piece, most)) })
		}
	}
}

// serveBesideEndless sends many requests that a script answers, and normal ones beside them.
func serveBesideEndless(t *testing.T, kind descriptor.Kind, faulty script) {
	f := newFixture()
	f.memory = &allocator.Pool{Bytes: endlessMemory}
	normal := answerOK
	if _, ok := kind.(descriptor.Stream); ok {
		normal = streamEvents(0)
	}
	f.start(t, kind, 1, f.startUpstream(t, "u", func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.Header.Get("Id"), "normal") {
			return normal(c, r)
		}
		return faulty(c, r)
	}))
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(endlessHeap / 2))
	largest := make(chan uint64, 1)
	go func() { largest <- watchHeap(ctx) }()
	var callers sync.WaitGroup
	for n := range endlessResponses {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				r := request()
				r.ID = fmt.Sprintf("endless%d.%d", n, i)
				r.Deadline = time.Now().Add(endlessTime)
				f.forwarder.Serve(ctx, r, discardSink{}, time.Now())
				time.Sleep(endlessPause)
			}
		})
	}
	var served atomic.Int64
	asked := int64(0)
	for ; ctx.Err() == nil; time.Sleep(endlessTime / 20) {
		asked++
		callers.Go(func() {
			if outcome := f.serveUntilRun(t, fmt.Sprint("normal", asked)); outcome == "200" {
				served.Add(1)
			} else {
				t.Errorf("a normal request: %s", outcome)
			}
		})
	}
	callers.Wait()
	if got := <-largest; got > endlessHeap {
		t.Errorf("%d MB were in use", got>>20)
	}
	if diff := cmp.Diff([]int64{asked, 0}, []int64{served.Load(), f.memory.Used()}); diff != "" {
		t.Errorf("normal requests served, memory used afterwards (-want +got):\n%s", diff)
	}
}

// serveUntilRun sends a request until it is not refused as not run for want of an upstream, as
// callers do: on a busy machine a connection may not open in its time. It gives up after the
// time in which a caller waits.
func (f *fixture) serveUntilRun(t *testing.T, id string) string {
	t.Helper()
	const callerWaits = 4 * time.Second
	for began := time.Now(); ; {
		r := request()
		r.ID = id
		outcome, _ := f.serve(t, r)
		if outcome != "capacity 503 no" || time.Since(began) > callerWaits {
			return outcome
		}
	}
}

// discardSink is a caller that reads all it gets and keeps nothing.
type discardSink struct{}

func (discardSink) Head(int, http.Header, int64) {}

func (discardSink) Body([]byte) error { return nil }
