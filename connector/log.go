package connector

import (
	"context"
	"time"
)

// Entry is one record of a log stream. Data is the record as it was appended.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of one read of a log stream.
type Page struct {
	// First is the first offset that the log still retains.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
	// Entries are in offset order.
	Entries []Entry `json:"entries"`
}

// Log is the platform's append-only log. It consists of named streams.
type Log interface {
	// Append adds one record to a stream and returns the record's offset. When Append
	// returns an error, the record may be in the log, or may still be added later.
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	// Read returns the records of a stream, beginning with the record at the
	// offset from. If there are none yet, Read waits for new records, for at most
	// the given time.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}
