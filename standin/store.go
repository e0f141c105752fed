package standin

import (
	"context"
	"sync"
	"time"

	"github.com/citronpier/citronpier/connector"
)

// Effect is the outcome of a call of a Store. A test's Fault function chooses the
// outcome.
type Effect int

// The outcomes of a call. A call is an append or a read (Read or Newest). A read
// returns a connector.LostError if its outcome is neither Done nor Refuse.
const (
	// Done executes the call and returns its result.
	Done Effect = iota
	// Refuse does not execute the call and returns a connector.RefusedError.
	Refuse
	// LoseCall does not execute an append and returns a connector.LostError, as
	// when the request was lost.
	LoseCall
	// LoseResponse executes an append and returns a connector.LostError, as when
	// the response was lost.
	LoseResponse
	// DelayAppend returns a connector.LostError for an append. The next RunDelayed
	// executes the append, if the partition then ends at the expected offset.
	DelayAppend
)

// Call describes one call of a Store to its Fault function.
type Call struct {
	// Host is the name of the calling host.
	Host      string
	Partition connector.Partition
	// Append reports whether the call is an append. Otherwise the call is a Read or
	// a Newest.
	Append bool
	// From is the first offset of a Read, otherwise 0.
	From int64
}

// Store is an in-memory fake of an embedding platform's store of partitioned logs.
// In a keyed partition, a record replaces all earlier records with the same key.
// The zero value is empty. A Store is safe for concurrent use.
type Store struct {
	// Fault chooses the outcome of each call; nil means Done. While the store is
	// in use, change Fault only with SetFault.
	Fault func(Call) Effect
	// Key splits a record into key and value, for Newest; an empty value deletes
	// the key. Nil means that no partition is keyed.
	Key func(record []byte) (key string, value []byte)

	mu         sync.Mutex
	partitions map[connector.Partition]*partition
	// delayed has the appends to execute at the next RunDelayed.
	delayed []func()
	calls   int
}

// partition is the log of one partition.
type partition struct {
	// first is the lowest offset that is still retained.
	first   int64
	records [][]byte
	// newest has the newest record of each key. Trim does not change it.
	newest map[string]connector.Item
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// end returns the offset of the next record to be appended.
func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// NoResponseError is the Cause of the connector.LostErrors that a Store returns
// because of an injected fault.
type NoResponseError struct{}

// Error returns a fixed message.
func (*NoResponseError) Error() string { return "no response received" }

// SetFault sets the function that chooses the outcome of each call from now on;
// nil means Done.
func (s *Store) SetFault(fault func(Call) Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = fault
}

// Host returns a client of the store whose calls carry the host's name.
func (s *Store) Host(name string) connector.Store { return hostStore{store: s, host: name} }

// RunDelayed executes the appends delayed by DelayAppend, in order. An append has
// no effect if the partition no longer ends at the append's expected offset.
func (s *Store) RunDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.delayed {
		call()
	}
	s.delayed = nil
}

// Trim drops the records of a partition with offsets below first. Newest still
// returns the newest record of each key.
func (s *Store) Trim(p connector.Partition, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(p)
	drop := min(max(0, first-part.first), int64(len(part.records)))
	part.records = part.records[drop:]
	part.first += drop
}

// Len returns the offset after the last record of a partition. This includes
// trimmed records.
func (s *Store) Len(p connector.Partition) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition(p).end()
}

// Calls returns the number of calls so far, by all hosts and with any outcome.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) partition(p connector.Partition) *partition {
	if s.partitions == nil {
		s.partitions = make(map[connector.Partition]*partition)
	}
	part, ok := s.partitions[p]
	if !ok {
		part = &partition{newest: make(map[string]connector.Item), appended: make(chan struct{})}
		s.partitions[p] = part
	}
	return part
}

// hostStore is one host's client of a Store.
type hostStore struct {
	store *Store
	host  string
}

// beginCall counts a call of the store, and returns the outcome that the Fault
// function chooses for the call.
func (h hostStore) beginCall(p connector.Partition, appends bool, from int64) Effect {
	s := h.store
	s.mu.Lock()
	fault := s.Fault
	s.calls++
	s.mu.Unlock()
	if fault == nil {
		return Done
	}
	return fault(Call{Host: h.host, Partition: p, Append: appends, From: from})
}

// Append appends all records if the partition ends at the given offset, or if at
// is connector.AnyEnd. Otherwise it appends no records and returns a
// connector.EndMismatchError.
func (h hostStore) Append(_ context.Context, p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	copied := make([][]byte, len(records))
	for i, r := range records {
		copied[i] = append([]byte(nil), r...)
	}
	switch h.beginCall(p, true, 0) {
	case Refuse:
		return connector.Appended{}, &connector.RefusedError{Status: 503, Detail: "refused"}
	case LoseCall:
		return connector.Appended{}, &connector.LostError{Cause: &NoResponseError{}}
	case LoseResponse:
		h.store.mu.Lock()
		defer h.store.mu.Unlock()
		_, _ = h.store.append(p, copied, at) // the caller gets no result, so errors are ignored
		return connector.Appended{}, &connector.LostError{Cause: &NoResponseError{}}
	case DelayAppend:
		h.store.mu.Lock()
		defer h.store.mu.Unlock()
		h.store.delayed = append(h.store.delayed, func() {
			_, _ = h.store.append(p, copied, at) // the caller got no result, so errors are ignored
		})
		return connector.Appended{}, &connector.LostError{Cause: &NoResponseError{}}
	}
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return h.store.append(p, copied, at)
}

func (s *Store) append(p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	part := s.partition(p)
	if at != connector.AnyEnd && at != part.end() {
		return connector.Appended{}, &connector.EndMismatchError{Partition: p, End: part.end()}
	}
	offset := part.end()
	for _, r := range records {
		if s.Key != nil {
			key, value := s.Key(r)
			part.updateNewest(key, value)
		}
		part.records = append(part.records, r)
	}
	close(part.appended)
	part.appended = make(chan struct{})
	return connector.Appended{Offset: offset, End: part.end()}, nil
}

func (p *partition) updateNewest(key string, value []byte) {
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = connector.Item{Key: key, Value: value, Offset: p.end()}
}

// Read returns the records from an offset on. If there are none, it waits for
// the next append, but no longer than the duration wait. It returns a
// connector.TrimmedError if the record at the offset was trimmed.
func (h hostStore) Read(ctx context.Context, p connector.Partition, from int64, wait time.Duration) (connector.Records, error) {
	switch h.beginCall(p, false, from) {
	case Done:
	case Refuse:
		return connector.Records{}, &connector.RefusedError{Status: 503, Detail: "refused"}
	default:
		return connector.Records{}, &connector.LostError{Cause: &NoResponseError{}}
	}
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for {
		page, appended, err := h.store.page(p, from)
		if err != nil || len(page.Values) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-expired.C:
			return page, nil
		case <-ctx.Done():
			return page, &connector.LostError{Cause: ctx.Err()}
		}
	}
}

// page returns the records from an offset on, and a channel that is closed at
// the next append to the partition.
func (s *Store) page(p connector.Partition, from int64) (connector.Records, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(p)
	if from < part.first {
		return connector.Records{}, nil, &connector.TrimmedError{Partition: p, First: part.first}
	}
	page := connector.Records{First: part.first, End: part.end()}
	page.Values = append(page.Values, part.records[min(from-part.first, int64(len(part.records))):]...)
	return page, part.appended, nil
}

// Newest returns the newest record of each key, in no particular order.
func (h hostStore) Newest(_ context.Context, p connector.Partition) (connector.Newest, error) {
	switch h.beginCall(p, false, 0) {
	case Done:
	case Refuse:
		return connector.Newest{}, &connector.RefusedError{Status: 503, Detail: "refused"}
	default:
		return connector.Newest{}, &connector.LostError{Cause: &NoResponseError{}}
	}
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	part := h.store.partition(p)
	newest := connector.Newest{End: part.end()}
	for _, item := range part.newest {
		newest.Items = append(newest.Items, item)
	}
	return newest, nil
}
