package connector

import (
	"context"
	"fmt"
	"time"
)

// Partition names one ordered log of the platform's store.
type Partition struct {
	Topic string
	Part  int
}

// String returns the partition's name in logs.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Part) }

// AnyEnd is the expected end of an append that takes any.
const AnyEnd int64 = -1

// Appended is a successful append.
type Appended struct {
	// Offset is that of the first record.
	Offset int64
	// End is the offset after the last record.
	End int64
}

// Records is the result of reading a partition.
type Records struct {
	// First is the first offset that the store still keeps.
	First int64
	// End is the offset that the next append will get.
	End int64
	// Values are in offset order, from the offset that was asked for.
	Values [][]byte
}

// Item is the newest record of one key.
type Item struct {
	Key    string
	Value  []byte
	Offset int64
}

// Newest is the newest record of each key of a keyed partition.
type Newest struct {
	Items []Item
	// End is the offset that the next append will get.
	End int64
}

// Store is the platform's store of partitioned and keyed logs.
type Store interface {
	// Append adds records, all or none, where the partition ends at the given
	// offset. After an error other than *MovedError and *RefusedError the
	// records may be in the partition, or may still get there while it ends at
	// that offset.
	Append(ctx context.Context, p Partition, records [][]byte, at int64) (Appended, error)
	// Read returns records from an offset on. Where there are none yet, it
	// waits for at most the given time.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Records, error)
	// Newest returns the newest record of each key of a keyed partition.
	Newest(ctx context.Context, p Partition) (Newest, error)
}

// MovedError says that a partition does not end where an append expected.
type MovedError struct {
	Partition Partition
	End       int64
}

// Error describes the failure.
func (e *MovedError) Error() string {
	return fmt.Sprintf("partition %s ends at %d", e.Partition, e.End)
}

// TrimmedError says that the records asked for are gone.
type TrimmedError struct {
	Partition Partition
	First     int64
}

// Error describes the failure.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("partition %s begins at %d", e.Partition, e.First)
}

// RefusedError says that the store did nothing.
type RefusedError struct {
	// Status is the HTTP status of the refusal; 0 where no connection was made.
	Status int
	Detail string
}

// Error describes the failure.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused with status %d: %s", e.Status, e.Detail)
}

// LostError says that the store's answer was lost: it may have done the call.
type LostError struct{ Cause error }

// Error describes the failure.
func (e *LostError) Error() string { return "answer of the store was lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
