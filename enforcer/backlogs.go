package enforcer

import (
	"sync"
	"time"
)

const (
	// maxBacklog bounds what is held of a connection's responses while its reader is slow, in
	// bytes.
	maxBacklog = 256 << 10
	// defaultBacklogs is the size of a Backlogs that has none, in bytes.
	defaultBacklogs = 32 << 20
	// slowAfter is the time without progress after which a reader may be cut off for others.
	slowAfter = time.Second
)

// Backlogs is the memory for what slow readers have not taken yet, over all connections. When it
// is used up, the reader that has taken nothing for the longest time is cut off. The zero value
// has a default size. It is safe for concurrent use.
type Backlogs struct {
	// Bytes is the size; 0 means 32 MB. It must not change after the first use.
	Bytes int64

	mu   sync.Mutex
	used int64
	// open has the connections with a backlog.
	open map[*backlog]struct{}
	// cut counts the readers that were cut off.
	cut int64
}

// backlog is what one connection holds. Backlogs.mu guards its fields.
type backlog struct {
	bytes int64
	// progressAt is when the reader last took bytes, or when the backlog began.
	progressAt time.Time
	// end cuts the reader off. It must not call the Backlogs.
	end func()
}

// Used returns the bytes of all backlogs, and the number of readers that were cut off.
func (b *Backlogs) Used() (bytes, cut int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.cut
}

// grant adds up to a number of bytes to a backlog and returns how many. If there is no room, it cuts
// off readers that have taken nothing for some time. Each backlog may have flushBytes.
func (b *Backlogs) grant(l *backlog, bytes int64, now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.bytes == 0 {
		l.progressAt = now
	}
	for b.used+bytes > b.size() {
		slowest := b.slowest(l, now)
		if slowest == nil {
			bytes = min(bytes, max(flushBytes-l.bytes, 0))
			break
		}
		b.remove(slowest)
		go slowest.end()
	}
	if bytes == 0 {
		return 0
	}
	if b.open == nil {
		b.open = make(map[*backlog]struct{})
	}
	b.open[l] = struct{}{}
	l.bytes += bytes
	b.used += bytes
	return bytes
}

// slowest returns the other backlog whose reader has taken nothing for the longest time, and at
// least for slowAfter; nil if there is none.
func (b *Backlogs) slowest(asking *backlog, now time.Time) *backlog {
	var slowest *backlog
	for l := range b.open {
		if l == asking || now.Sub(l.progressAt) < slowAfter {
			continue
		}
		if slowest == nil || l.progressAt.Before(slowest.progressAt) {
			slowest = l
		}
	}
	return slowest
}

// take counts bytes that a reader has taken.
func (b *Backlogs) take(l *backlog, bytes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > 0 {
		l.progressAt = now
	}
	taken := min(int64(bytes), l.bytes)
	l.bytes -= taken
	b.used -= taken
	if l.bytes == 0 {
		delete(b.open, l)
	}
}

// drop removes the backlog of a reader that is cut off.
func (b *Backlogs) drop(l *backlog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(l)
	b.cut++
}

// remove removes a backlog. The caller must hold mu.
func (b *Backlogs) remove(l *backlog) {
	b.used -= l.bytes
	l.bytes = 0
	delete(b.open, l)
}

func (b *Backlogs) size() int64 {
	if b.Bytes == 0 {
		return defaultBacklogs
	}
	return b.Bytes
}
