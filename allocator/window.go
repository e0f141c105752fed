package allocator

import (
	"slices"
	"sync"
	"time"
)

// Window bounds the bytes that are added over a time: each addition counts until it expires. A
// nil Window admits everything. It is safe for concurrent use.
type Window struct {
	// Bytes is the bound. It must not change after the first use.
	Bytes int64

	mu sync.Mutex
	// used is the sum of the additions that have not expired.
	used      int64
	additions []*Addition
}

// Addition is a number of bytes that counts in a Window until it expires or is withdrawn.
type Addition struct {
	// window is nil if nothing bounds the bytes.
	window  *Window
	bytes   int64
	expires time.Time
}

// Add adds bytes that count for some time, and reports whether there is room for them. A single
// addition always has room.
func (w *Window) Add(bytes int64, keep time.Duration, now time.Time) (*Addition, bool) {
	if w == nil {
		return &Addition{}, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(now)
	if w.used > 0 && w.used+bytes > w.Bytes {
		return nil, false
	}
	a := &Addition{window: w, bytes: bytes, expires: now.Add(keep)}
	w.used += bytes
	w.additions = append(w.additions, a)
	return a, true
}

// Withdraw ends an addition that turned out not to count. It does nothing if the addition has
// expired or was withdrawn before.
func (a *Addition) Withdraw() {
	if a == nil || a.window == nil {
		return
	}
	w := a.window
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.Index(w.additions, a)
	if i < 0 {
		return
	}
	w.used -= a.bytes
	w.additions = slices.Delete(w.additions, i, i+1)
}

// expire removes the additions that have expired. The caller must hold mu.
func (w *Window) expire(now time.Time) {
	w.additions = slices.DeleteFunc(w.additions, func(a *Addition) bool {
		if now.Before(a.expires) {
			return false
		}
		w.used -= a.bytes
		return true
	})
}
