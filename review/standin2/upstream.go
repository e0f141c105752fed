package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The header fields that the upstream reads and writes.
const (
	headerAttempt  = "Citronpier-Attempt-Id"
	headerInstance = "Citronpier-Expect-Instance"
	headerStamp    = "Citronpier-Response-Stamp"
	headerNotRun   = "Citronpier-Not-Executed"
)

// largePath is the end of the paths that have a large answer.
const largePath = "large"

// upstream is a sound stand-in of an upstream. It echoes the id of each request, refuses requests
// for other instances and more than it has slots for, and counts how often each request ran.
type upstream struct {
	id, service, zone string
	slots             int
	// events is the number of events of a stream, and pause the time between two of them.
	events int
	pause  time.Duration
	// work is how long a call takes. Its answer has answerBytes, or largeBytes if the path ends
	// with largePath.
	work                    time.Duration
	answerBytes, largeBytes int

	address string
	born    int64

	mu      sync.Mutex
	running int
	runs    map[string]int
	// refused counts the requests that found no slot.
	refused int
}

// listen starts the upstream's server.
func (u *upstream) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	u.address, u.born, u.runs = l.Addr().String(), time.Now().UnixMilli(), make(map[string]int)
	go func() { _ = (&http.Server{Handler: u, IdleTimeout: time.Minute}).Serve(l) }()
	return nil
}

// register writes the upstream's entry to the store until stop is closed.
func (u *upstream) register(s *store, stop chan struct{}) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for sequence := 1; ; sequence++ {
		raw, _ := json.Marshal(map[string]any{
			"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": "ready",
			"cold_left_ms": 0, "sequence": sequence, "born": u.born,
		})
		s.put("keyed.servers", u.id, raw)
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// begin counts a request that runs, and returns false if there is no slot for it.
func (u *upstream) begin(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.slots {
		u.refused++
		return false
	}
	u.running++
	u.runs[id]++
	return true
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// ran returns how often a request ran.
func (u *upstream) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// ServeHTTP runs a request: a stream if its path is that of a stream route, and a call otherwise.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, id)
	switch {
	case r.Header.Get(headerInstance) != u.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !u.begin(id):
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.end()
	w.Header().Set(headerStamp, u.id+"."+id)
	if strings.HasPrefix(r.URL.Path, streamPrefix) || strings.HasPrefix(r.URL.Path, chatPrefix) {
		u.stream(w, r)
		return
	}
	time.Sleep(u.work)
	size := u.answerBytes
	if strings.HasSuffix(r.URL.Path, largePath) {
		size = u.largeBytes
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(bytes.Repeat([]byte("a"), size))
}

// stream sends the events of a turn.
func (u *upstream) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := 1; n <= u.events && r.Context().Err() == nil; n++ {
		time.Sleep(u.pause)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("t", 120))
		_ = controller.Flush()
	}
}
