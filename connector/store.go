package connector

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Partition identifies one partition of a topic in the platform's store. Each
// partition is a log with an order of its own.
type Partition struct {
	Topic string
	Part  int
}

// String returns topic and number, as in "programs/3", for logs and errors.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Part) }

// If AnyEnd is passed to Append as the expected end, the records are appended
// wherever the partition ends.
const AnyEnd int64 = -1

// Appended is the result of a successful append.
type Appended struct {
	// Offset is the offset of the first appended record.
	Offset int64
	// End is the offset after the last appended record.
	End int64
}

// Records is the result of one read of a partition.
type Records struct {
	// First is the first offset that the store still retains.
	First int64
	// End is the offset that the next append will get.
	End int64
	// Values are the records in offset order. The first one is at the requested
	// offset.
	Values [][]byte
}

// Item is the newest record with one key.
type Item struct {
	Key    string
	Value  []byte
	Offset int64
}

// Newest holds the newest record of each key in a keyed partition. In a keyed partition,
// a record replaces all earlier records with the same key.
type Newest struct {
	Items []Item
	// End is the offset that the next append will get.
	End int64
}

// Store is the platform's store of partitioned logs. In a keyed partition each record
// has a key, and the store retains the newest record of each key.
type Store interface {
	// If the partition ends at the offset at, Append adds either all records or none.
	// If the partition ends elsewhere, Append returns an *EndMismatchError. After any
	// error except *EndMismatchError and *RefusedError, the records may be in the
	// partition. They may also still be added later, as long as the partition ends at
	// the offset at.
	Append(ctx context.Context, p Partition, records [][]byte, at int64) (Appended, error)
	// Read returns the records of a partition, beginning with the record at the
	// offset from. If there are none yet, Read waits for new records, for at most the
	// given time. It returns a *TrimmedError if the store no longer retains the
	// record at the offset.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Records, error)
	// Newest returns the newest record of each key in a keyed partition, which is a
	// partition in which a record replaces all earlier records with the same key.
	Newest(ctx context.Context, p Partition) (Newest, error)
}

// EndMismatchError reports that the partition does not end at the offset that an append
// expected, usually because another writer appended first. End is the actual end. The
// append had no effect.
type EndMismatchError struct {
	Partition Partition
	End       int64
}

// Error names the partition and its end.
func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("partition %s ends at offset %d, not at the expected offset", e.Partition, e.End)
}

// TrimmedError reports that the store has removed the requested records. First is
// the first offset that the store still retains.
type TrimmedError struct {
	Partition Partition
	First     int64
}

// Error names the partition and its first offset.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("partition %s begins at offset %d: earlier records were removed", e.Partition, e.First)
}

// RefusedError reports that the store refused a request, or that the request did not
// reach the store. The request had no effect.
type RefusedError struct {
	// Status is the HTTP status of the store's reply. It is 0 if the store did not
	// reply.
	Status int
	// Detail is the body of the reply or the reason why there is none.
	Detail string
}

// Error states the status and the detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused the request with status %d: %s", e.Status, e.Detail)
}

// IsTooLarge reports whether the store refused a request because of its size. It then
// refuses the same request each time.
func IsTooLarge(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Status == http.StatusRequestEntityTooLarge
}

// LostError reports that a request was sent and the store's reply was lost. The
// request may have taken effect.
type LostError struct{ Cause error }

// Error states the cause.
func (e *LostError) Error() string { return "reply of the store was lost: " + e.Cause.Error() }

// Unwrap returns the error because of which the reply was lost.
func (e *LostError) Unwrap() error { return e.Cause }

// IsLost reports whether the store's reply to a request was lost.
func IsLost(err error) bool {
	var lost *LostError
	return errors.As(err, &lost)
}
