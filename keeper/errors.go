package keeper

import "fmt"

// QueueFullError reports that a shard's append queue is full.
type QueueFullError struct {
	Shard string
	// Waiting is the number of queued changes.
	Waiting int
}

// Error returns the shard and the length of its queue.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d changes of shard %s wait for the store: the queue is full", e.Waiting, e.Shard)
}

// TooLargeError reports that a change was not recorded because the store takes no append
// of its size.
type TooLargeError struct {
	Shard string
	// Bytes is the size of the append.
	Bytes int
}

// Error returns the shard and the size.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the store takes no append of %d bytes, which a change of shard %s needs", e.Bytes, e.Shard)
}

// UnrecordableError reports a turn that no home can record in any shard: the store takes no record
// of it, or it can't be encoded.
type UnrecordableError struct{ Cause error }

// Error implements the error interface.
func (e *UnrecordableError) Error() string { return "no shard can record the turn: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnrecordableError) Unwrap() error { return e.Cause }

// recordRefusedError reports that the store refused a record for its size, and that smaller ones
// were not tried yet.
type recordRefusedError struct {
	// Bytes is the size of the record.
	Bytes int
}

// Error returns the size.
func (e *recordRefusedError) Error() string {
	return fmt.Sprintf("the store takes no record of %d bytes", e.Bytes)
}

// InterruptedError reports that changes were not recorded because another home appended to the
// partition between the calls that they need.
type InterruptedError struct {
	Shard string
	// Records is the number of records of the changes, and Bytes their size.
	Records, Bytes int
}

// Error returns the shard and the size.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("another home of shard %s appended between the %d records of %d bytes, %d times", e.Shard, e.Records, e.Bytes, maxInterruptions)
}
