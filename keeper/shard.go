package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/historian"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
)

// shard holds the state computed from the records of one partition, and the queue
// of changes to append to the partition.
type shard struct {
	partition connector.Partition
	keeper    *Keeper
	logger    zerolog.Logger

	// ioLock is a lock with a capacity of one: only its holder reads the partition
	// or appends to it. It is a channel so that waiting can end with a context.
	ioLock chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// loaded is set once the partition has been read to its end for the first time.
	loaded bool
	// loading is the read of the whole partition that is under way, or nil.
	loading *loading
	// hadOtherWriter is set once the partition is known to have records that another
	// home, or an earlier incarnation of this host, has written.
	hadOtherWriter bool
	// readSinceVisit is set if the partition was known to its end after the last visit.
	readSinceVisit bool
	// end is the offset of the first record that is not applied yet.
	end     int64
	decoder decoder
	// tree holds the turns that are recorded in the partition.
	tree historian.Tree
	// accounts holds the budget state by program.
	accounts map[string]*account
	// sessionUpstreams and programUpstreams hold the upstream that served the last turn of
	// each session, and of any session of each program.
	sessionUpstreams, programUpstreams lastUpstreams
	// bindings holds the builds that began the streams of attempts.
	bindings bindings
	// otherChains caches chains that were found in other shards, by the id of the
	// chain's last turn. A chain is the text of a turn and of all turns before it.
	otherChains map[string][]byte
	// queue holds the changes that wait for an append.
	queue []*change
	// rewrites holds the changes under way that write records again.
	rewrites map[rewriteKey]*change
	// pendingTurns holds the changes that record turns and whose append has not ended, by
	// turn id.
	pendingTurns map[string]*change
	// deferred holds changes that are not urgent. They are written with the next
	// append, or by the next Tick if that comes first.
	deferred []*change
	// flushScheduled is set while a timer runs that queues the deferred changes.
	flushScheduled bool
	// writing is set while a goroutine writes the queue.
	writing bool
	// unavailable is set while the partition accepts no appends although the rest of
	// the store answers.
	unavailable watchableFlag
	// lastUsed is the time of the last request to the shard.
	lastUsed time.Time
}

// loading is a read of a whole partition. All requests that need the shard wait for it.
type loading struct {
	// done is closed when the read has ended. err is valid from then on.
	done chan struct{}
	err  error
}

// load waits until the partition has been read to its end, and starts the read if
// necessary. The read goes on if ctx ends: other requests wait for it too, and what was
// transferred from a busy store would be read again.
func (s *shard) load(ctx context.Context) error {
	s.mu.Lock()
	if s.loaded {
		s.mu.Unlock()
		return nil
	}
	l := s.startLoading()
	s.mu.Unlock()
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startLoading starts a read of the partition to its end, unless one is under way. The
// caller holds mu.
func (s *shard) startLoading() *loading {
	if s.loading == nil {
		s.loading = &loading{done: make(chan struct{})}
		go s.readAll(s.loading)
	}
	return s.loading
}

// readAll reads the partition to its end.
func (s *shard) readAll(l *loading) {
	start := time.Now()
	err := s.refresh(s.keeper.ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.err = err
	s.loading = nil
	close(l.done)
	if err != nil {
		return
	}
	if s.loaded {
		return
	}
	s.loaded = true
	s.logger.Info().Int64("end", s.end).Int("turns", s.tree.Len()).Int("programs", len(s.accounts)).
		Dur("took_ms", time.Since(start)).Msg("shard loaded")
}

// lockIO takes the lock on reads and appends. It returns the error of ctx if ctx
// ends first.
func (s *shard) lockIO(ctx context.Context) error {
	select {
	case s.ioLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *shard) unlockIO() { <-s.ioLock }

func (s *shard) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// refresh reads the records that other hosts have appended since the last read.
func (s *shard) refresh(ctx context.Context) error {
	if err := s.lockIO(ctx); err != nil {
		return err
	}
	defer s.unlockIO()
	return s.catchUp(ctx, nil)
}

// catchUp reads and applies records up to the partition's end. If own is not nil, it
// is the batch of an append whose answer was lost. If catchUp finds that batch among the
// records, the append took effect: the batch is applied as this home's own and marked
// as read back. The caller holds ioLock.
func (s *shard) catchUp(ctx context.Context, own *batch) error {
	for {
		s.mu.Lock()
		from := s.end
		s.mu.Unlock()
		page, err := s.keeper.config.Store.Read(ctx, s.partition, from, 0)
		var trimmed *connector.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			s.skipExpired(trimmed.First)
			continue
		}
		if err != nil {
			return fmt.Errorf("read %s from %d: %w", s.partition, from, err)
		}
		atEnd := from+int64(len(page.Values)) >= page.End
		s.applyPage(page, own, time.Now(), atEnd)
		if atEnd {
			return nil
		}
		if len(page.Values) == 0 {
			return &RecordError{Detail: fmt.Sprintf("partition %s has no records from %d to %d", s.partition, from, page.End)}
		}
	}
}

// skipExpired moves on to the first record that the store still has. If only
// part of a batch has been read, that part is dropped.
func (s *shard) skipExpired(first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logger.Info().Int64("from", s.end).Int64("first", first).Msg("skipping expired records")
	s.end = first
	s.hadOtherWriter = true
	s.decoder = decoder{}
}

// applyPage applies the records of one read. own is the batch of an append with
// unknown outcome, or nil. atEnd is true if the partition ended with these records.
func (s *shard) applyPage(page connector.Records, own *batch, now time.Time, atEnd bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readSinceVisit = s.readSinceVisit || atEnd
	for _, record := range page.Values {
		b, err := s.decoder.next(record)
		if err != nil {
			s.logger.Error().Err(err).Int64("offset", s.end).Msg("skipping unreadable record")
		}
		s.end++
		if b == nil {
			continue
		}
		if own != nil && b.GetWriter() == s.keeper.config.Incarnation && b.GetSequence() == own.sequence {
			own.readBack = true
			s.applyOwn(own, now)
			continue
		}
		s.applyForeign(b, now)
	}
}

// applyForeign applies a batch that was appended by another home or by an earlier
// incarnation of this host.
func (s *shard) applyForeign(b *recorder.ShardBatch, now time.Time) {
	s.hadOtherWriter = true
	if b.GetWriter() == s.keeper.config.Incarnation {
		// Another home has written again what this one reserves.
		return
	}
	age := max(0, now.Sub(time.UnixMilli(b.GetWritten())))
	written := now.Add(-age)
	for _, h := range b.GetHolds() {
		s.account(h.GetProgram(), time.Duration(h.GetRetention())*time.Millisecond, now).
			applyOtherReservation(b.GetWriter(), h.GetTurn(), h.GetMost(), written)
	}
	for _, e := range b.GetSpendings() {
		s.account(e.GetProgram(), time.Duration(e.GetRetention())*time.Millisecond, now).
			applyOtherSpending(e.GetSettled(), written)
	}
	for _, t := range b.GetTurns() {
		s.addTurn(t, age, now)
		if t.GetProgram() != "" {
			s.account(t.GetProgram(), 0, now).applyOtherSettlement(t.GetId(), t.GetGenerated(), written)
		}
	}
	for _, e := range b.GetSettlements() {
		s.account(e.GetProgram(), 0, now).applyOtherSettlement(e.GetTurn(), e.GetGenerated(), written)
	}
	for _, bound := range b.GetBindings() {
		if expires := bindingExpiry(written, bound.GetRetention()); !now.After(expires) {
			build := descriptor.Build{Service: bound.GetService(), Version: bound.GetVersion()}
			s.bindings.add(bound.GetAttempt(), build, expires)
		}
	}
	for _, a := range b.GetAllowances() {
		s.account(a.GetProgram(), 0, now).applyOtherAllowance(b.GetWriter(), a.GetAmount(), written)
	}
}

// applyOwn applies a batch of this home once it is in the store.
func (s *shard) applyOwn(b *batch, now time.Time) {
	for _, t := range b.message.GetTurns() {
		s.addTurn(t, 0, now)
	}
	for _, c := range b.changes {
		if a, ok := s.accounts[c.program]; ok {
			a.applyRecorded(c, now)
		}
	}
}

// addTurn adds a recorded turn to the tree. age is the time since the turn's record was
// written.
func (s *shard) addTurn(t *recorder.Turn, age time.Duration, now time.Time) {
	s.tree.Add(historian.Turn{
		ID:        t.GetId(),
		Previous:  t.GetPrevious(),
		Input:     t.GetInput(),
		Output:    t.GetOutput(),
		Retention: time.Duration(t.GetRetention()) * time.Millisecond,
	}, age, now)
}

// account returns the account of a program and creates it if necessary. The account
// has the longest of the retentions that were passed for the program.
func (s *shard) account(program string, retention time.Duration, now time.Time) *account {
	a, ok := s.accounts[program]
	if !ok {
		a = &account{reservations: make(map[string]*reservation)}
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		s.accounts[program] = a
	}
	a.retention = max(a.retention, retention)
	a.lastUsed = now
	return a
}

// addHints adds the upstreams that served the last turns of the session and the program.
func (s *shard) addHints(reply *messenger.BeginReply, r *messenger.BeginRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Upstream = s.sessionUpstreams.get(r.GetSession())
	reply.ProgramUpstream = s.programUpstreams.get(r.GetProgram())
}

// chain returns the text of a turn and of all turns before it, if all these turns
// are in memory.
func (s *shard) chain(id string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if text, ok := s.tree.Chain(id); ok {
		return text, true
	}
	text, ok := s.otherChains[id]
	return text, ok
}

// prune drops turns, accounts, upstreams, bindings and cached chains that have expired.
func (s *shard) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepPreviousOfPending(now)
	s.tree.Prune(now)
	for program, a := range s.accounts {
		if now.Sub(a.lastUsed) > accountRetentionFactor*max(a.retention, minAccountRetention) {
			delete(s.accounts, program)
		}
	}
	s.sessionUpstreams.prune(now)
	s.programUpstreams.prune(now)
	s.bindings.prune(now)
	if len(s.otherChains) > maxOtherChains {
		clear(s.otherChains)
	}
}

const (
	// accountRetentionFactor is the time that an unused account is kept, in
	// multiples of its retention: a program may pause for up to one retention.
	accountRetentionFactor = 2
	// minAccountRetention is the shortest retention of an account. It is also used
	// for accounts whose retention is not known.
	minAccountRetention = time.Minute
	// maxOtherChains bounds the cache of chains from other shards. A cache with more
	// chains is cleared: the chains can be found in their own shards again.
	maxOtherChains = 256
)
