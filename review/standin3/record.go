package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecord returns a record in a new file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// printf writes a line with the time since the record began, in seconds.
func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// since returns a time as seconds since the record began.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) close() { _ = r.file.Close() }
