package connector

import (
	"context"
	"time"
)

// Entry is one record of a log stream.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of reading a log stream.
type Page struct {
	// First is the first offset that the log still keeps.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
	// Entries are in offset order.
	Entries []Entry `json:"entries"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record. After an error the record may or may not be in
	// the log, or may still get there later.
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	// Read returns records from an offset on. Where there are none yet, it
	// waits for at most the given time.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}
