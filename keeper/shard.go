package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/historian"
	"github.com/citronpier/citronpier/messenger"
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

// isFirstHome reports whether this home has written all records of the partition, and at least
// one: several hosts may take an empty partition for theirs. The caller holds mu.
func (s *shard) isFirstHome() bool { return !s.hadOtherWriter && s.end > 0 }

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
