package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two records of an upstream in the store.
const heartbeat = 1200 * time.Millisecond

// queuePerSlot is the number of requests that wait at an upstream for each slot, as in the
// site file (24 slots, a queue of 72).
const queuePerSlot = 3

// run is one request that an upstream has begun to work on.
type run struct {
	id         string
	body       string
	arrivedAt  time.Time
	endedAt    time.Time
	events     int
	completely bool
}

// streamFunc returns the number of events of a stream, and the pause before each, for the
// body of its request.
type streamFunc func(body string) (events int, pause time.Duration)

// upstream is a stand-in of a runner. It runs each request that names it, and stops work
// when the channel of a stream is closed.
type upstream struct {
	record      *record
	id, address string
	service     string
	slots       int
	born        int64
	listener    net.Listener
	limit       func() float64
	stream      streamFunc
	work        time.Duration
	stopped     chan struct{}
	// inUse has an item for each slot in use, and queued is the number of waiting requests, which mu guards.
	inUse    chan struct{}
	mu       sync.Mutex
	runs     []*run
	sequence int
	queued   int
}

func newUpstream(rec *record, address, id, service string, slots int) (*upstream, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &upstream{
		record: rec, id: id, address: address, service: service, slots: slots, born: time.Now().UnixMilli(),
		listener: l, stopped: make(chan struct{}),
		inUse: make(chan struct{}, slots),
	}, nil
}

// start accepts connections, and registers the upstream in the store until it is closed.
func (u *upstream) start(s *store) {
	u.register(s)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-u.stopped:
				return
			case <-tick.C:
				u.register(s)
			}
		}
	}()
	go func() {
		for {
			c, err := u.listener.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
}

func (u *upstream) close() {
	close(u.stopped)
	_ = u.listener.Close()
}

// register writes the record in which the upstream describes itself.
func (u *upstream) register(s *store) {
	u.sequence++
	s.put("keyed.servers", u.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"kochi","version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"sequence":%d,"born":%d}`,
		u.service, u.address, u.slots, u.sequence, u.born,
	))
}

// allRuns returns the requests that the upstream has begun to work on.
func (u *upstream) allRuns() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make([]run, len(u.runs))
	for i, r := range u.runs {
		runs[i] = *r
	}
	return runs
}

// serve answers the requests of one connection, one at a time.
func (u *upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !u.answer(c, r, string(body)) {
			return
		}
	}
}

// takeSlot waits for a slot. It returns false if the queue is full.
func (u *upstream) takeSlot() bool {
	u.mu.Lock()
	full := u.queued >= queuePerSlot*u.slots
	if !full {
		u.queued++
	}
	u.mu.Unlock()
	if full {
		return false
	}
	u.inUse <- struct{}{}
	u.mu.Lock()
	u.queued--
	u.mu.Unlock()
	return true
}

// answer answers one request, and reports whether the connection stays open.
func (u *upstream) answer(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Citronpier-Attempt-Id")
	if r.Header.Get("Citronpier-Expect-Instance") != u.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nCitronpier-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	arrivedAt := time.Now()
	if !u.takeSlot() {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nCitronpier-Attempt-Id: %s\r\nCitronpier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	defer func() { <-u.inUse }()
	work := &run{id: id, body: body, arrivedAt: arrivedAt}
	u.mu.Lock()
	u.runs = append(u.runs, work)
	u.mu.Unlock()
	u.record.logf("upstream %s: runs %s", u.id, id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nCitronpier-Attempt-Id: %s\r\nCitronpier-Response-Stamp: %s.%s\r\n", id, u.id, id)
	if u.limit != nil {
		if limit := u.limit(); limit > 0 {
			head += fmt.Sprintf("Server-Limit: %g\r\n", limit)
		}
	}
	var err error
	if u.stream == nil {
		time.Sleep(u.work)
		answer := "done " + id
		_, err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
	} else {
		err = u.sendStream(c, head, work)
	}
	u.mu.Lock()
	work.endedAt, work.completely = time.Now(), err == nil
	u.mu.Unlock()
	u.record.logf("upstream %s: ended %s, %d events, whole %t", u.id, id, work.events, err == nil)
	return err == nil
}

// sendStream sends a stream of events. It fails once the channel is closed.
func (u *upstream) sendStream(c net.Conn, head string, work *run) error {
	if _, err := io.WriteString(c, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	count, pause := u.stream(work.body)
	for i := 1; i <= count; i++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, work.id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		u.mu.Lock()
		work.events = i
		u.mu.Unlock()
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}
