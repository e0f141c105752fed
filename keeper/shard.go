package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/historian"
	"github.com/citronpier/citronpier/recorder"
)

// shard is the state of one partition, as far as it was read, and the changes
// on their way to it.
type shard struct {
	partition connector.Partition
	keeper    *Keeper
	logger    zerolog.Logger

	// reading has room for the one that reads the partition or appends to it.
	reading chan struct{}

	mu sync.Mutex
	// loaded says that the partition was read to its end once.
	loaded bool
	// end is the offset up to which records were applied.
	end      int64
	decoder  decoder
	tree     historian.Tree
	accounts map[string]*account
	// upstreams has the upstream that served each session's last turn.
	upstreams map[string]sighting
	// imported has chains of other shards that turns here continue.
	imported map[string][]byte
	queue    []*change
	// lazy are changes that go with the next append.
	lazy    []*change
	writing bool
	// away is shut while the partition takes no appends though the store answers
	// otherwise.
	away gate
	// used is when a request last needed the shard.
	used time.Time
}

// sighting is the upstream that served a session.
type sighting struct {
	upstream string
	seen     time.Time
}

// load reads the partition to its end, unless that was done before.
func (s *shard) load(ctx context.Context) error {
	if s.isLoaded() {
		return nil
	}
	if err := s.acquire(ctx); err != nil {
		return err
	}
	defer s.free()
	if s.isLoaded() {
		return nil
	}
	began := time.Now()
	if err := s.catchUp(ctx, nil); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
	s.logger.Info().Int64("end", s.end).Int("turns", s.tree.Len()).Int("programs", len(s.accounts)).
		Dur("took_ms", time.Since(began)).Msg("shard loaded")
	return nil
}

// acquire waits until no one else reads or appends, or ctx ends.
func (s *shard) acquire(ctx context.Context) error {
	select {
	case s.reading <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *shard) free() { <-s.reading }

func (s *shard) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// refresh reads what others have appended since the shard was last read.
func (s *shard) refresh(ctx context.Context) error {
	if err := s.acquire(ctx); err != nil {
		return err
	}
	defer s.free()
	return s.catchUp(ctx, nil)
}

// catchUp reads and applies records up to the partition's end. A batch of this
// host that is found is applied as its own. It needs reading to be held.
func (s *shard) catchUp(ctx context.Context, own *batch) error {
	for {
		s.mu.Lock()
		from := s.end
		s.mu.Unlock()
		page, err := s.keeper.config.Store.Read(ctx, s.partition, from, 0)
		var trimmed *connector.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			s.skip(trimmed.First)
			continue
		}
		if err != nil {
			return fmt.Errorf("read %s from %d: %w", s.partition, from, err)
		}
		s.apply(page, own, time.Now())
		if from+int64(len(page.Values)) >= page.End {
			return nil
		}
		if len(page.Values) == 0 {
			return &RecordError{Detail: fmt.Sprintf("partition %s has no records from %d to %d", s.partition, from, page.End)}
		}
	}
}

func (s *shard) skip(to int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logger.Info().Int64("from", s.end).Int64("first", to).Msg("records have expired")
	s.end = to
	s.decoder = decoder{}
}

func (s *shard) apply(page connector.Records, own *batch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range page.Values {
		b, err := s.decoder.next(record)
		if err != nil {
			s.logger.Error().Err(err).Int64("offset", s.end).Msg("record skipped")
		}
		s.end++
		if b == nil {
			continue
		}
		if own != nil && b.GetWriter() == s.keeper.config.Incarnation && b.GetSequence() == own.sequence {
			own.found = true
			s.applyOwn(own, now)
			continue
		}
		s.applyForeign(b, now)
	}
}

// applyForeign applies a batch of another home.
func (s *shard) applyForeign(b *recorder.ShardBatch, now time.Time) {
	for _, h := range b.GetHolds() {
		s.account(h.GetProgram(), time.Duration(h.GetRetention())*time.Millisecond, now).
			heldElsewhere(h.GetTurn(), h.GetMost())
	}
	age := max(0, now.Sub(time.UnixMilli(b.GetWritten())))
	for _, e := range b.GetSpendings() {
		s.account(e.GetProgram(), time.Duration(e.GetRetention())*time.Millisecond, now).spentElsewhere(e.GetSettled())
	}
	for _, t := range b.GetTurns() {
		s.addTurn(t, age, now)
		if t.GetProgram() != "" {
			s.account(t.GetProgram(), 0, now).settledElsewhere(t.GetId(), t.GetGenerated())
		}
	}
	for _, e := range b.GetSettlements() {
		s.account(e.GetProgram(), 0, now).settledElsewhere(e.GetTurn(), e.GetGenerated())
	}
	for _, a := range b.GetAllowances() {
		s.account(a.GetProgram(), 0, now).allowedElsewhere(b.GetWriter(), a.GetAmount())
	}
}

// applyOwn applies a batch of this home after it got into the store.
func (s *shard) applyOwn(b *batch, now time.Time) {
	for _, t := range b.message.GetTurns() {
		s.addTurn(t, 0, now)
	}
	for _, c := range b.changes {
		if a, ok := s.accounts[c.program]; ok {
			a.recorded(c)
		}
	}
}

func (s *shard) addTurn(t *recorder.Turn, age time.Duration, now time.Time) {
	s.tree.Add(historian.Turn{
		ID:        t.GetId(),
		Previous:  t.GetPrevious(),
		Input:     t.GetInput(),
		Output:    t.GetOutput(),
		Retention: time.Duration(t.GetRetention()) * time.Millisecond,
	}, age, now)
}

// account returns the account of a program, a new one where there is none.
func (s *shard) account(program string, retention time.Duration, now time.Time) *account {
	a, ok := s.accounts[program]
	if !ok {
		a = &account{turns: make(map[string]*hold)}
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		s.accounts[program] = a
	}
	a.retention = max(a.retention, retention)
	a.used = now
	return a
}

// chain returns the text of a turn and all before it.
func (s *shard) chain(id string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if text, ok := s.tree.Chain(id); ok {
		return text, true
	}
	text, ok := s.imported[id]
	return text, ok
}

// prune drops what is no longer kept.
func (s *shard) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree.Prune(now)
	for program, a := range s.accounts {
		if now.Sub(a.used) > accountMargin*max(a.retention, leastRetention) {
			delete(s.accounts, program)
		}
	}
	for session, seen := range s.upstreams {
		if now.Sub(seen.seen) > sessionKept {
			delete(s.upstreams, session)
		}
	}
	if len(s.imported) > importedKept {
		clear(s.imported)
	}
}

const (
	// accountMargin is how many retention times an account is kept unused: a
	// stopped program may come back within one.
	accountMargin = 2
	// leastRetention is that of an account whose retention is not known.
	leastRetention = time.Minute
	// sessionKept is how long the upstream of a session's last turn is of use.
	sessionKept = 30 * time.Second
	// importedKept bounds the chains of other shards. A turn that loses its
	// chain here finds it again where it came from.
	importedKept = 256
)
