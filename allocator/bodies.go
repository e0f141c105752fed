package allocator

import (
	"fmt"
	"sync"
	"time"
)

const (
	// FreeBodyBytes is what every body may hold, however little memory is free. It has room
	// for a usual request.
	FreeBodyBytes = 16 << 10
	// stallWindow is the time over which the rate of a body is measured.
	stallWindow = 500 * time.Millisecond
	// minBodyRate is the rate, in bytes a second, below which a body gives way to others.
	minBodyRate = 32 << 10
	// undeclaredBytes is the assumed size of a body of which little has arrived and whose
	// length is not declared.
	undeclaredBytes = 64 << 10
)

// Bodies is the memory for the bodies that callers send. While there is enough of it, each body
// gets what it needs. Otherwise bodies that stall give way first, then those of addresses that
// hold more than their share, then those with the most left to send. The zero value has the
// default size. It is safe for concurrent use.
type Bodies struct {
	// Bytes is the size; 0 means the part of a Budget of DefaultMemory. It must not change
	// after the first use.
	Bytes int64

	mu sync.Mutex
	// used is the sum of held over all open bodies.
	used int64
	open map[*Body]struct{}
	// shed counts the bodies that gave way.
	shed int64
}

// Body is the memory of one body. It is safe for concurrent use.
type Body struct {
	bodies *Bodies
	// address is the caller's, without its port.
	address string
	// declared is the length of the body in bytes, or -1; limit is the largest that is allowed.
	declared, limit int64
	// held is the memory of the body, and received what has arrived of it.
	held, received int64
	// mark is what had arrived at markAt, when the present window began. slow is true if the
	// rate of the last window was below the minimum. lastAt is when bytes last arrived.
	mark           int64
	markAt, lastAt time.Time
	slow           bool
	// shed interrupts the reading of the body.
	shed func()
	// state says whether the body may still give way.
	state bodyState
}

// bodyState is the state of a Body.
type bodyState int

const (
	// arriving: the body may give way to others.
	arriving bodyState = iota
	// complete: the body has arrived, and an upstream may run its request.
	complete
	// gone: the body has given way or was released. It is not in Bodies.open.
	gone
)

// ShedError reports that a body has given way to others.
type ShedError struct {
	// Received is what had arrived of the body, in bytes.
	Received int64
}

// Error implements the error interface.
func (e *ShedError) Error() string {
	return fmt.Sprintf("the memory for bodies is needed for others after %d bytes", e.Received)
}

// Open returns the memory of a body that is about to arrive. shed has to interrupt the reading of
// the body. It is called once at most, not after Complete or Release have returned, and must
// not call the Bodies.
func (b *Bodies) Open(address string, declared, limit int64, shed func(), now time.Time) *Body {
	body := &Body{bodies: b, address: address, declared: declared, limit: limit, shed: shed, markAt: now, lastAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open == nil {
		b.open = make(map[*Body]struct{})
	}
	b.open[body] = struct{}{}
	return body
}

// Used returns the bytes that all bodies hold.
func (b *Bodies) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Shed returns the number of bodies that gave way.
func (b *Bodies) Shed() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shed
}

// giveWay removes a body so that others have its memory, and interrupts it. The caller must hold
// mu.
func (b *Bodies) giveWay(body *Body) {
	b.remove(body)
	b.shed++
	body.shed()
}

// Grow sets the memory that the body holds to a larger number of bytes. The error is a
// *ShedError; the body then holds nothing.
func (b *Body) Grow(bytes int64, now time.Time) error {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	if b.state == gone || !b.bodies.makeRoom(b, bytes-b.held, now) {
		if b.state != gone {
			b.bodies.remove(b)
			b.bodies.shed++
		}
		return &ShedError{Received: b.received}
	}
	b.bodies.used += bytes - b.held
	b.held = bytes
	return nil
}

// Received counts bytes that have arrived.
func (b *Body) Received(n int, now time.Time) {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.received += int64(n)
	b.lastAt = now
	if elapsed := now.Sub(b.markAt); elapsed >= stallWindow {
		b.slow = float64(b.received-b.mark) < minBodyRate*elapsed.Seconds()
		b.mark, b.markAt = b.received, now
	}
}

// Complete marks the body as arrived: it does not give way any more. The error is a *ShedError
// if it has done so before.
func (b *Body) Complete() error {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	if b.state == gone {
		return &ShedError{Received: b.received}
	}
	b.state = complete
	return nil
}

// Release gives the memory back.
func (b *Body) Release() {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	b.bodies.remove(b)
}

// remove gives the memory of a body back. The caller must hold mu.
func (b *Bodies) remove(body *Body) {
	if body.state == gone {
		return
	}
	body.state = gone
	b.used -= body.held
	body.held = 0
	delete(b.open, body)
}

// size returns the number of bytes of all bodies together.
func (b *Bodies) size() int64 {
	if b.Bytes == 0 {
		return Budget{}.Bodies()
	}
	return b.Bytes
}
