package keeper

import (
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/recorder"
)

// These flags in the first byte of a record mark the first and the last record of
// a batch.
const (
	flagFirst byte = 1 << iota
	flagLast
)

// encode compresses a batch and splits it into records of at most limit bytes. The error
// is an *EncodingError.
func encode(batch *recorder.ShardBatch, limit int) ([][]byte, error) {
	raw, err := proto.Marshal(batch)
	if err != nil {
		return nil, &EncodingError{Cause: err}
	}
	data := s2.Encode(nil, raw)
	var records [][]byte
	for start := 0; start == 0 || start < len(data); start += limit - 1 {
		end := min(len(data), start+limit-1)
		flags := byte(0)
		if start == 0 {
			flags |= flagFirst
		}
		if end == len(data) {
			flags |= flagLast
		}
		records = append(records, append([]byte{flags}, data[start:end]...))
	}
	return records, nil
}

// EncodingError reports that a change can't be encoded, for example because an id in it is
// not text in UTF-8.
type EncodingError struct{ Cause error }

// Error returns the cause's message.
func (e *EncodingError) Error() string { return "encode batch: " + e.Cause.Error() }

// Unwrap returns Cause, for errors.Is and errors.As.
func (e *EncodingError) Unwrap() error { return e.Cause }

// decoder assembles batches from consecutive records. It skips the records of a
// batch whose first record the store has already dropped.
type decoder struct {
	// data holds the payload of the current batch so far.
	data []byte
	// inBatch is set between the first and the last record of a batch.
	inBatch bool
}

// next takes the next record and returns the batch that the record completes, or
// nil if the batch is not complete.
func (d *decoder) next(record []byte) (*recorder.ShardBatch, error) {
	if len(record) == 0 {
		return nil, &RecordError{Detail: "record is empty"}
	}
	flags := record[0]
	if flags&flagFirst != 0 {
		d.inBatch, d.data = true, nil
	}
	if !d.inBatch {
		return nil, nil
	}
	d.data = append(d.data, record[1:]...)
	if flags&flagLast == 0 {
		return nil, nil
	}
	data := d.data
	*d = decoder{}
	raw, err := s2.Decode(nil, data)
	if err != nil {
		return nil, &RecordError{Detail: "batch is not readable", Cause: err}
	}
	batch := &recorder.ShardBatch{}
	if err := proto.Unmarshal(raw, batch); err != nil {
		return nil, &RecordError{Detail: "batch is not readable", Cause: err}
	}
	return batch, nil
}

// RecordError reports that records of a shard are missing or can't be decoded.
type RecordError struct {
	Detail string
	// Cause is the error of the decoder, or nil.
	Cause error
}

// Error returns the detail and the cause.
func (e *RecordError) Error() string {
	if e.Cause == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns Cause, for errors.Is and errors.As.
func (e *RecordError) Unwrap() error { return e.Cause }
