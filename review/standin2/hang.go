package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["hang"] = playHang }

const (
	// crowdTime is how long the crowd of callers is there at most, and calmTime how long the hosts
	// have afterwards to answer an ordinary request.
	crowdTime = 60 * time.Second
	calmTime  = 25 * time.Second
	// silence is the time without any answer after which the crowd leaves early.
	silence = 8 * time.Second
	// leavers is the number of callers that ask for a large answer, read it slowly and leave, and
	// further the number of requests that each has sent by then behind the first one.
	leavers = 12
	further = 1
	// openers is the number of callers that open connections, heldEach how many each keeps, and
	// openPause the time between two of them.
	openers   = 4
	heldEach  = 100
	openPause = 4 * time.Millisecond
	// smallAnswer and largeAnswer are the sizes of answers.
	smallAnswer = 800
	largeAnswer = 220 << 10
	// receiveBuffer is the size of a slow reader's buffer.
	receiveBuffer = 4 << 10
	// ordinaryPause is the time between two ordinary callers.
	ordinaryPause = 50 * time.Millisecond
	// late is how long after the route's timeout a request has to be answered, and waits how long
	// an ordinary caller waits.
	late  = 500 * time.Millisecond
	waits = routeTimeout*time.Millisecond + 2*late
)

// playHang has callers that open many connections, and callers that read slowly and leave while
// further requests of theirs are on the way. Ordinary callers come all the time. Afterwards each
// host has to answer an ordinary request.
func playHang(r *record, trouble bool) (verdict, error) {
	app := func(id, zone string) *upstream {
		return &upstream{id: id, service: appService, zone: zone, slots: 64, work: 2 * time.Millisecond, answerBytes: smallAnswer, largeBytes: largeAnswer}
	}
	d, err := newDeployment(smallSettings(), newStore(true), configuration(60), app("app-1", "zone-a"), app("app-2", "zone-b"))
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	o := &ordinary{record: r, address: d.hosts[0].front}
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	if trouble {
		go func() {
			defer cancel()
			playCrowd(ctx, r, o.address)
		}()
	}
	o.play(ctx)
	r.printf("ordinary requests at host 1: %d sent, %d answered, %d unanswered at %d ms, %d of them without an answer %s later",
		o.sent, o.answered, o.overdue, routeTimeout, o.unanswered, late)
	return o.judge(d), nil
}

// judge asks each host for an ordinary answer, until it gives one or calmTime has passed. The rule
// is broken if a host gives none, and more than half of the requests that were unanswered at the
// timeout of their route had no answer half a second later.
func (o *ordinary) judge(d *deployment) verdict {
	for i, h := range d.hosts {
		if !h.alive() {
			return verdict{true, fmt.Sprintf("host %d has ended", i+1)}
		}
		if !answers(o.record, h, i+1) && 2*o.unanswered > o.overdue {
			return verdict{true, fmt.Sprintf("host %d answers nothing for %s after the crowd has left (readiness check good: %t); before, %d of %d overdue requests had no answer",
				i+1, calmTime, h.isReady(), o.unanswered, o.overdue)}
		}
	}
	return verdict{false, "each host answers an ordinary request"}
}

// answers reports whether a host answers an ordinary request within calmTime.
func answers(r *record, h *host, n int) bool {
	for deadline := time.Now().Add(calmTime); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		c := call{method: "GET", path: safePrefix + "calm", id: newID(), timeLimit: 2 * time.Second}
		a := c.send(h.front)
		r.printf("host %d, crowd gone: request %s: status %d, complete %t, %d bytes, error %v", n, c.id, a.status, a.complete, a.bytes, a.err)
		if a.status == 200 && a.complete {
			return true
		}
	}
	return false
}

// ordinary are the ordinary callers. Each sends one request on a new connection.
type ordinary struct {
	record  *record
	address string

	mu sync.Mutex
	// sent counts the requests whose bytes were sent, and answered those with an answer or a
	// closed connection before the timeout of their route. overdue counts the others, and
	// unanswered those that had neither half a second later.
	sent, answered, overdue, unanswered int
}

// play sends requests until ctx ends, and waits for the answers.
func (o *ordinary) play(ctx context.Context) {
	var callers sync.WaitGroup
	for ctx.Err() == nil {
		callers.Go(o.call)
		time.Sleep(ordinaryPause)
	}
	callers.Wait()
}

// call sends one request and counts it.
func (o *ordinary) call() {
	conn, err := net.DialTimeout("tcp4", o.address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := newID()
	if _, err := fmt.Fprintf(conn, "GET %sordinary HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nCitronpier-Deadline-Ms: %d\r\nConnection: close\r\n\r\n",
		safePrefix, callerHost, headerAttempt, id, waits.Milliseconds()); err != nil {
		return
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(waits))
	n, err := conn.Read(make([]byte, 64<<10))
	took := time.Since(sent)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent++
	switch {
	case took < routeTimeout*time.Millisecond:
		o.answered++
		return
	case took >= routeTimeout*time.Millisecond+late:
		o.unanswered++
	}
	o.overdue++
	o.record.printf("ordinary request %s: %d bytes after %s, error %v", id, n, took.Round(time.Millisecond), err)
}

// playCrowd plays the crowd until ctx ends, or until there was no answer for some time.
func playCrowd(ctx context.Context, r *record, address string) {
	ctx, cancel := context.WithCancel(ctx)
	var opened, left, answered atomic.Int64
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer cancel()
	for range openers {
		crowd.Go(func() { openConnections(ctx, address, &opened) })
	}
	for range leavers {
		crowd.Go(func() {
			for ctx.Err() == nil {
				if readAndLeave(address) {
					answered.Add(1)
				}
				left.Add(1)
			}
		})
	}
	for last := int64(0); ctx.Err() == nil; last = answered.Load() {
		select {
		case <-time.After(silence):
		case <-ctx.Done():
		}
		r.printf("crowd: %d connections opened; %d callers left, %d of them after their answer had begun", opened.Load(), left.Load(), answered.Load())
		if answered.Load() == last {
			r.printf("crowd: leaves, as nobody got an answer for %s", silence)
			return
		}
	}
}

// openConnections opens connections and keeps the newest ones.
func openConnections(ctx context.Context, address string, opened *atomic.Int64) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	for ; ctx.Err() == nil; time.Sleep(openPause) {
		c, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			continue
		}
		opened.Add(1)
		held = append(held, c)
		if len(held) > heldEach {
			_ = held[0].Close()
			held = held[1:]
		}
	}
}

// readAndLeave sends requests, reads the beginning of the first answer, and resets the connection.
// It reports whether the answer had begun.
func readAndLeave(address string) bool {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	c, err := dialer.Dial("tcp4", address)
	if err != nil {
		return false
	}
	defer func() {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	var b bytes.Buffer
	request := "GET %s HTTP/1.1\r\nHost: " + callerHost + "\r\n" + headerAttempt + ": %s\r\nCitronpier-Deadline-Ms: 2000\r\n\r\n"
	fmt.Fprintf(&b, request, safePrefix+largePath, newID())
	for range further {
		fmt.Fprintf(&b, request, safePrefix+"next", newID())
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return false
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return false
	}
	time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Millisecond))))
	return true
}
