package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// newID returns an id as callers use it.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call is a request of a well-behaved caller.
type call struct {
	method, path, id string
	header           map[string]string
	body             []byte
	timeLimit        time.Duration
}

// answer is what a caller got.
type answer struct {
	status int
	// first is true if the request was the first one on its connection.
	first bool
	// complete is true if the whole response arrived.
	complete bool
	bytes    int
	err      error
}

// channel is a caller's connection, which it keeps for further requests. The zero value with an
// address is not open yet.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// sent is the number of requests that were sent on the open connection.
	sent int
}

// close closes the connection, if it is open.
func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.sent = nil, 0
}

// open opens a connection, unless one is open.
func (c *channel) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// send sends a request and reads the answer. It closes the connection unless the answer is whole.
func (c *channel) send(r call) answer {
	if err := c.open(); err != nil {
		return answer{err: err}
	}
	c.sent++
	_ = c.conn.SetDeadline(time.Now().Add(r.timeLimit + time.Second))
	a := answer{first: c.sent == 1}
	if _, a.err = c.conn.Write(r.encode()); a.err != nil {
		c.close()
		return a
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	n, err := io.Copy(io.Discard, res.Body)
	a.status, a.complete, a.bytes, a.err = res.StatusCode, err == nil, int(n), err
	if err != nil || res.Close {
		c.close()
	}
	return a
}

// send sends a request on a connection of its own.
func (r call) send(address string) answer {
	c := &channel{address: address}
	defer c.close()
	return c.send(r)
}

// encode returns the request as it is sent.
func (r call) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nCitronpier-Deadline-Ms: %d\r\n", r.method, r.path, callerHost,
		headerAttempt, r.id, r.timeLimit.Milliseconds())
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if len(r.body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}
