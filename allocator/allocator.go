package allocator

import (
	"fmt"
	"sync"
)

const (
	// DefaultBytes is the size of a Pool that has none.
	DefaultBytes = 64 << 20
	// MinGrantBytes is what a Grant may hold however full the Pool is. It has room for a
	// usual head and the buffer of a stream.
	MinGrantBytes = 16 << 10
)

// Pool is an amount of memory that is shared by Grants. The zero value has DefaultBytes. It is
// safe for concurrent use.
type Pool struct {
	// Bytes is the size; 0 means DefaultBytes. It must not change after the first use.
	Bytes int64

	mu   sync.Mutex
	used int64
}

// Used returns the bytes that all Grants hold.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Grant returns a Grant that holds nothing yet. A Grant of a nil Pool may hold any amount.
func (p *Pool) Grant() *Grant { return &Grant{pool: p} }

// ExhaustedError reports that a Grant asked for more than its share of a Pool.
type ExhaustedError struct {
	// Bytes is what the Grant asked for, and Share what it may hold at present.
	Bytes, Share int64
}

// Error implements the error interface.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("%d bytes needed, but the share of the memory for responses is %d bytes", e.Bytes, e.Share)
}

// Grant is the memory that one holder has of a Pool. It is not safe for concurrent use.
type Grant struct {
	pool *Pool
	held int64
}

// Resize sets the bytes that the Grant holds. The error is an *ExhaustedError; the Grant then
// holds what it held before.
func (g *Grant) Resize(bytes int64) error {
	if g.pool == nil || bytes == g.held {
		return nil
	}
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if share := g.pool.share(g.held); bytes > max(g.held, share) {
		return &ExhaustedError{Bytes: bytes, Share: share}
	}
	g.pool.used += bytes - g.held
	g.held = bytes
	return nil
}

// Release gives the memory back. The Grant may be used again.
func (g *Grant) Release() { _ = g.Resize(0) }

// share returns the most that a Grant may hold which holds a number of bytes now: half of
// what the others leave. The caller must hold mu.
func (p *Pool) share(held int64) int64 {
	size := p.Bytes
	if size == 0 {
		size = DefaultBytes
	}
	return max(MinGrantBytes, (size-(p.used-held))/2)
}
