package keeper

import (
	"fmt"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/recorder"
)

// The first byte of a record says where it stands in its batch.
const (
	flagFirst byte = 1 << iota
	flagLast
)

// encode returns a batch as records of a limited size in bytes.
func encode(batch *recorder.ShardBatch, limit int) ([][]byte, error) {
	raw, err := proto.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
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

// decoder joins records to batches. Records of a batch whose beginning the
// store no longer keeps are skipped.
type decoder struct {
	data  []byte
	begun bool
}

// next takes one record and returns the batch that it completes, if any.
func (d *decoder) next(record []byte) (*recorder.ShardBatch, error) {
	if len(record) == 0 {
		return nil, &RecordError{Detail: "record is empty"}
	}
	flags := record[0]
	if flags&flagFirst != 0 {
		d.begun, d.data = true, nil
	}
	if !d.begun {
		return nil, nil
	}
	d.data = append(d.data, record[1:]...)
	if flags&flagLast == 0 {
		return nil, nil
	}
	d.begun = false
	raw, err := s2.Decode(nil, d.data)
	if err != nil {
		return nil, &RecordError{Detail: "batch is not readable", Cause: err}
	}
	batch := &recorder.ShardBatch{}
	if err := proto.Unmarshal(raw, batch); err != nil {
		return nil, &RecordError{Detail: "batch is not readable", Cause: err}
	}
	return batch, nil
}

// RecordError says that a record of a shard can't be read.
type RecordError struct {
	Detail string
	Cause  error
}

// Error describes the failure.
func (e *RecordError) Error() string {
	if e.Cause == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }
