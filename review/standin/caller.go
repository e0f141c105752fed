package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is a request of a caller.
type request struct {
	method, path, body string
	timeLimit          time.Duration
	header             map[string]string
}

// answer is what a caller got for a request.
type answer struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if no header of an answer came.
	status int
	body   string
	// whole is true if the answer came to its end.
	whole bool
	err   error
}

// events returns the number of events in the answer.
func (a answer) events() int { return strings.Count(a.body, "\n\n") }

// text describes the answer for the record.
func (a answer) text() string {
	return fmt.Sprintf("%s: status %d, %d events, whole %t, after %.3f s, error %v",
		a.id, a.status, a.events(), a.whole, a.endedAt.Sub(a.sentAt).Seconds(), a.err)
}

// lastID numbers the attempts of all callers.
var lastID atomic.Int64

// newID returns the id of a new attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5eed<<32+lastID.Add(1)) }

// connectTimeout is the time that a caller allows a new channel.
const connectTimeout = time.Second

// send sends a request over a new channel and reads the answer until the time limit.
func (r request) send(rec *record, address string) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	defer func() { rec.logf("caller: %s", a.text()) }()
	c, err := net.DialTimeout("tcp4", address, connectTimeout)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(a.sentAt.Add(r.timeLimit))
	rec.logf("caller: %s %s %s to %s", a.id, r.method, r.path, address)
	if err := r.write(c, a.id); err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	a.status, a.body, a.err = readAnswer(c, r.method)
	a.whole = a.err == nil
	a.endedAt = time.Now()
	return a
}

// write writes the request in HTTP/1.1 format.
func (r request) write(c net.Conn, id string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCitronpier-Attempt-Id: %s\r\nCitronpier-Deadline-Ms: %d\r\n",
		r.method, r.path, hostName, id, r.timeLimit.Milliseconds())
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n\r\n" + r.body)
	_, err := io.WriteString(c, b.String())
	return err
}

// readAnswer reads one answer to its end.
func readAnswer(c net.Conn, method string) (status int, body string, err error) {
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return res.StatusCode, string(raw), err
}

// isTimeout reports whether a caller's time limit ended the request.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
