package keeper

import (
	"bytes"
	"time"

	"github.com/citronpier/citronpier/recorder"
)

// batch is the records of changes. They are appended with one call of the store or, if one
// call does not hold them, with several, one after the other. A batch takes effect with its last
// record, and only if no other record stands between its records: every reader of the partition
// drops a batch that another one interrupts. Only a batch of a single change is appended with
// several calls.
type batch struct {
	// sequence identifies the batch among the batches of this incarnation.
	sequence uint64
	changes  []*change
	// built is when the records were built from the state of the shard.
	built   time.Time
	message *recorder.ShardBatch
	// copies holds what is written again for other homes, by the incarnation of the home.
	copies map[string]*recorder.ShardBatch
	// records holds the encoded message and the copies.
	records [][]byte
	// offset is the offset that the first record has in the partition.
	offset int64
	// landed is the number of records that are known to be in the partition, from the first
	// one on and without a gap.
	landed int
	// interrupted is set once the offset of the next record is known to be taken by another
	// writer: the batch will not take effect.
	interrupted bool
}

// isWhole reports whether all records are in the partition.
func (b *batch) isWhole() bool { return b.landed == len(b.records) }

// nextOffset returns the offset that the next record has to have.
func (b *batch) nextOffset() int64 { return b.offset + int64(b.landed) }

// take reports whether the record at an offset of the partition is the next one of the batch,
// and counts it then. The append of the record took effect although its answer was lost.
// Any other record interrupts the batch.
func (b *batch) take(offset int64, record []byte) bool {
	if b.interrupted || b.isWhole() {
		return false
	}
	if offset != b.nextOffset() || !bytes.Equal(record, b.records[b.landed]) {
		b.interrupted = true
		return false
	}
	b.landed++
	return true
}

// nextCall returns the records of the next append: those that are not in the partition yet, as
// many as a call of limit bytes holds, and at least one; all of them if the batch has several
// changes.
func (b *batch) nextCall(limit int) [][]byte {
	rest := b.records[b.landed:]
	if len(b.changes) > 1 {
		return rest
	}
	size := 0
	for i, r := range rest {
		size += framedSize(r)
		if i > 0 && size > limit {
			return rest[:i]
		}
	}
	return rest
}

// framedSize returns the size of a record in a call of the store, in bytes.
func framedSize(record []byte) int { return len(record) + recordFramingBytes }

// callSize returns the size of records in a call of the store, in bytes.
func callSize(records [][]byte) int {
	size := 0
	for _, r := range records {
		size += framedSize(r)
	}
	return size
}

// messageOf returns the message for records of the home with the given incarnation: this home
// or another one, for which records are written again.
func (b *batch) messageOf(writer string) *recorder.ShardBatch {
	if writer == b.message.GetWriter() {
		return b.message
	}
	if b.copies == nil {
		b.copies = make(map[string]*recorder.ShardBatch)
	}
	if b.copies[writer] == nil {
		b.copies[writer] = &recorder.ShardBatch{Writer: writer, Written: b.message.GetWritten()}
	}
	return b.copies[writer]
}

// encode encodes the message and the copies into records of at most limit bytes. The error is
// an *EncodingError.
func (b *batch) encode(limit int) error {
	var err error
	if b.records, err = encode(b.message, limit); err != nil {
		return err
	}
	for _, c := range b.copies {
		records, err := encode(c, limit)
		if err != nil {
			return err
		}
		b.records = append(b.records, records...)
	}
	return nil
}
