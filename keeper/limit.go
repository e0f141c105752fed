package keeper

import (
	"sync"

	"github.com/rs/zerolog"
)

const (
	// recordFramingBytes is room for what the store's protocol adds to a record, and for a store
	// that takes only what is below its limits.
	recordFramingBytes = 16
	// minRecordLimit is the smallest limit of a record that is learned from refusals, in bytes.
	minRecordLimit = 512
	// refusedDivisor divides a size that the store has refused: the next limit is a half of it.
	refusedDivisor = 2
)

// sizeLimits are the sizes of what the store takes, in bytes: those that it is configured with,
// lowered by what it has refused. The zero value has refused nothing. It is safe for concurrent
// use.
type sizeLimits struct {
	mu sync.Mutex
	// record and call are the learned limits of a record and of the records of one call, each
	// with its framing; 0 where nothing was refused.
	record, call int
}

// lowerTo returns the lower one of a limit and of a learned one, which is 0 if it is not known.
func lowerTo(limit, learned int) int {
	if learned > 0 && (limit == 0 || learned < limit) {
		return learned
	}
	return limit
}

// ofCall returns the limit of the records of one call with their framing; 0 if it is unknown.
func (l *sizeLimits) ofCall(configured int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lowerTo(configured, l.call)
}

// ofRecord returns the limit of the data of one record, for configured limits of a record and of
// a call. A call holds one record at least.
func (l *sizeLimits) ofRecord(record, call int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lowerTo(lowerTo(record, call), l.record) - recordFramingBytes
}

// refuseCall lowers the limit of a call after the store has refused one of some size.
func (l *sizeLimits) refuseCall(size int, logger zerolog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := max(1, size/refusedDivisor)
	if l.call > 0 && l.call <= limit {
		return
	}
	l.call = limit
	logger.Warn().Int("refused", size).Int("limit", limit).Msg("store refused an append for its size, sending smaller ones")
}

// refuseRecord lowers the limit of a record after the store has refused a call of only one, of
// some size with its framing. It returns false if the record was as small as records get. Calls
// that were refused before may have been refused for their records, so that their limit is
// learned anew.
func (l *sizeLimits) refuseRecord(size int, logger zerolog.Logger) bool {
	if size <= minRecordLimit {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := max(minRecordLimit, size/refusedDivisor)
	if l.record > 0 && l.record <= limit {
		return true
	}
	l.record, l.call = limit, 0
	logger.Warn().Int("refused", size).Int("limit", limit).Msg("store refused a record for its size, writing smaller ones")
	return true
}
