package allocator

import (
	"sync"
	"time"
)

// Window bounds the bytes that are added over a time: each addition counts until it expires. A
// nil Window admits everything. It is safe for
// concurrent use.
type Window struct {
	// Bytes is the bound. It must not change after the first use.
	Bytes int64

	mu sync.Mutex
	// used is the sum of the additions that have not expired.
	used      int64
	additions []addition
}

// addition is a number of bytes that counts until it expires.
type addition struct {
	bytes   int64
	expires time.Time
}

// Add adds bytes that count for some time, and reports whether there is room for them. A single
// addition always has room.
func (w *Window) Add(bytes int64, keep time.Duration, now time.Time) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	if w.used > 0 && w.used+bytes > w.Bytes {
		return false
	}
	w.used += bytes
	w.additions = append(w.additions, addition{bytes: bytes, expires: now.Add(keep)})
	return true
}

// expire removes the additions that have expired. The caller must hold mu.
func (w *Window) expire(now time.Time) {
	kept := w.additions[:0]
	for _, a := range w.additions {
		if now.Before(a.expires) {
			kept = append(kept, a)
		} else {
			w.used -= a.bytes
		}
	}
	w.additions = kept
}
