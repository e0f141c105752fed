package standin

import (
	"context"
	"sync"
	"time"

	"github.com/citronpier/citronpier/connector"
)

// Effect is what a store does with a call.
type Effect int

// The effects. The zero value does the call and answers.
const (
	// Done does the call and answers it.
	Done Effect = iota
	// Refuse does nothing and says so.
	Refuse
	// LoseCall does nothing and does not answer.
	LoseCall
	// LoseAnswer does the call and does not answer.
	LoseAnswer
	// DoLate does not answer, and does the call when Settle is called, if its
	// condition still holds.
	DoLate
)

// Call is one call of a Store, as its Fault sees it.
type Call struct {
	Host      string
	Partition connector.Partition
	// Append tells an append from a read.
	Append bool
	// From is the offset that a read asks for.
	From int64
}

// Store is a store of partitioned and keyed logs in memory. The zero value is
// empty. It is safe for concurrent use.
type Store struct {
	// Fault says what happens to a call; nil does all. While the store is in use,
	// SetFault sets it.
	Fault func(Call) Effect
	// Key returns the key of a record of a keyed partition.
	Key func(record []byte) (key string, value []byte)

	mu    sync.Mutex
	parts map[connector.Partition]*partition
	late  []func()
	calls int
}

// partition is one log. Offsets begin at first.
type partition struct {
	first   int64
	records [][]byte
	newest  map[string]connector.Item
	grown   chan struct{}
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// SilenceError is the cause of a lost answer.
type SilenceError struct{}

// Error describes the failure.
func (*SilenceError) Error() string { return "no answer came" }

// SetFault sets what happens to calls from now on; nil does all.
func (s *Store) SetFault(fault func(Call) Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = fault
}

// Host returns the store as one host reaches it.
func (s *Store) Host(name string) connector.Store { return hostStore{store: s, host: name} }

// Settle does the late calls whose conditions still hold.
func (s *Store) Settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.late {
		call()
	}
	s.late = nil
}

// Trim drops the records of a partition before an offset.
func (s *Store) Trim(p connector.Partition, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.part(p)
	drop := min(max(0, first-part.first), int64(len(part.records)))
	part.records = part.records[drop:]
	part.first += drop
}

// Len returns the end of a partition.
func (s *Store) Len(p connector.Partition) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part(p).end()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) part(p connector.Partition) *partition {
	if s.parts == nil {
		s.parts = make(map[connector.Partition]*partition)
	}
	part, ok := s.parts[p]
	if !ok {
		part = &partition{newest: make(map[string]connector.Item), grown: make(chan struct{})}
		s.parts[p] = part
	}
	return part
}

// hostStore is a Store as one host reaches it.
type hostStore struct {
	store *Store
	host  string
}

func (h hostStore) effect(p connector.Partition, appends bool, from int64) Effect {
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

// Append adds records, all or none, where the partition ends at the offset.
func (h hostStore) Append(_ context.Context, p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	copied := make([][]byte, len(records))
	for i, r := range records {
		copied[i] = append([]byte(nil), r...)
	}
	switch h.effect(p, true, 0) {
	case Refuse:
		return connector.Appended{}, &connector.RefusedError{Status: 503, Detail: "refused"}
	case LoseCall:
		return connector.Appended{}, &connector.LostError{Cause: &SilenceError{}}
	case LoseAnswer:
		h.store.mu.Lock()
		defer h.store.mu.Unlock()
		_, _ = h.store.append(p, copied, at) // its answer is lost either way
		return connector.Appended{}, &connector.LostError{Cause: &SilenceError{}}
	case DoLate:
		h.store.mu.Lock()
		defer h.store.mu.Unlock()
		h.store.late = append(h.store.late, func() {
			_, _ = h.store.append(p, copied, at) // its answer is lost either way
		})
		return connector.Appended{}, &connector.LostError{Cause: &SilenceError{}}
	}
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return h.store.append(p, copied, at)
}

func (s *Store) append(p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	part := s.part(p)
	if at != connector.AnyEnd && at != part.end() {
		return connector.Appended{}, &connector.MovedError{Partition: p, End: part.end()}
	}
	offset := part.end()
	for _, r := range records {
		if s.Key != nil {
			key, value := s.Key(r)
			part.put(key, value)
		}
		part.records = append(part.records, r)
	}
	close(part.grown)
	part.grown = make(chan struct{})
	return connector.Appended{Offset: offset, End: part.end()}, nil
}

func (p *partition) put(key string, value []byte) {
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = connector.Item{Key: key, Value: value, Offset: p.end()}
}

// Read returns records from an offset on.
func (h hostStore) Read(ctx context.Context, p connector.Partition, from int64, wait time.Duration) (connector.Records, error) {
	switch h.effect(p, false, from) {
	case Done:
	case Refuse:
		return connector.Records{}, &connector.RefusedError{Status: 503, Detail: "refused"}
	default:
		return connector.Records{}, &connector.LostError{Cause: &SilenceError{}}
	}
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for {
		page, grown, err := h.store.page(p, from)
		if err != nil || len(page.Values) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-expired.C:
			return page, nil
		case <-ctx.Done():
			return page, &connector.LostError{Cause: ctx.Err()}
		}
	}
}

func (s *Store) page(p connector.Partition, from int64) (connector.Records, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.part(p)
	if from < part.first {
		return connector.Records{}, nil, &connector.TrimmedError{Partition: p, First: part.first}
	}
	page := connector.Records{First: part.first, End: part.end()}
	page.Values = append(page.Values, part.records[min(from-part.first, int64(len(part.records))):]...)
	return page, part.grown, nil
}

// Newest returns the newest record of each key.
func (h hostStore) Newest(_ context.Context, p connector.Partition) (connector.Newest, error) {
	switch h.effect(p, false, 0) {
	case Done:
	case Refuse:
		return connector.Newest{}, &connector.RefusedError{Status: 503, Detail: "refused"}
	default:
		return connector.Newest{}, &connector.LostError{Cause: &SilenceError{}}
	}
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	part := h.store.part(p)
	newest := connector.Newest{End: part.end()}
	for _, item := range part.newest {
		newest.Items = append(newest.Items, item)
	}
	return newest, nil
}
