package keeper

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/messenger"
)

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	// Incarnation identifies this run of the host's process. It changes with every
	// restart.
	Incarnation string
	Store       connector.Store
	// Partitions holds one partition for each shard; the index is the shard's
	// number. The list is the same on all hosts.
	Partitions []connector.Partition
	// RecordBytes is the size limit of one record in the store, in bytes.
	RecordBytes int
	// CallBytes is the size limit of one append to the store, in bytes; 0 if it is
	// unknown.
	CallBytes int
	// Retention is how long the store keeps records; 0 means forever.
	Retention time.Duration
	// MemoryBytes bounds the texts of turns in memory, in bytes: above it, no turn begins that
	// is to be recorded. 0 means no bound.
	MemoryBytes int64
	// Home reports whether this host is home of a shard, according to its own view
	// of the membership.
	Home func(shard int, now time.Time) bool
	// StoreReachable reports whether the store is reachable, directly or through
	// another host.
	StoreReachable func(now time.Time) bool
	// Unavailable reports whether a partition is unavailable while the rest of the store
	// answers. If Unavailable is nil, no partition counts as unavailable.
	Unavailable func(p connector.Partition, now time.Time) bool
	// Search asks the homes of the given shards for the chain of a turn: the text of
	// the turn and of all turns before it. The result certain is false if any of the
	// shards could not be searched.
	Search   func(ctx context.Context, turn string, shards []int) (chain []byte, found, certain bool)
	Counters *counter.Set
	Logger   zerolog.Logger
}

// Keeper holds the turns and budgets of the shards whose home is this host. It is
// safe for concurrent use.
type Keeper struct {
	config Config
	// ctx ends when the host stops.
	ctx context.Context
	// lastSequence is the sequence number of the newest batch of this incarnation.
	lastSequence atomic.Uint64
	// limits holds what the store has refused for its size.
	limits sizeLimits
	// pace chooses the size of the calls of divided batches.
	pace pace
	// textBytes is the size of the texts of turns in memory, as measured last.
	textBytes atomic.Int64

	mu sync.Mutex
	// shards holds the shards in memory by their number. mu guards it.
	shards map[int]*shard
	// visits decides when quiet shards are visited. mu guards it.
	visits visits
}

// New returns a Keeper whose background appends run until ctx ends.
func New(ctx context.Context, c Config) *Keeper {
	return &Keeper{config: c, ctx: ctx, shards: make(map[int]*shard)}
}

// Shard returns the number of the shard, from 0 to shards-1, that a program belongs to.
func Shard(program string, shards int) int {
	return int(xxhash.Sum64String(program) % uint64(shards))
}

// openShard returns the state of a shard and creates it if necessary. It returns
// false if the number is out of range, or if this host is not home of the shard and
// force is not set.
func (k *Keeper) openShard(id int, force bool, now time.Time) (*shard, bool) {
	if id < 0 || id >= len(k.config.Partitions) {
		return nil, false
	}
	if !force && !k.config.Home(id, now) {
		return nil, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.shards[id]
	if !ok {
		p := k.config.Partitions[id]
		s = &shard{partition: p, keeper: k, ioLock: make(chan struct{}, 1), logger: k.config.Logger.With().Str("shard", p.String()).Logger()}
		k.shards[id] = s
	}
	s.mu.Lock()
	s.lastUsed = now
	s.mu.Unlock()
	return s, true
}

// openShards returns a copy of the map of shards in memory. Some of these shards
// may not have been read from the store yet.
func (k *Keeper) openShards() map[int]*shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	open := make(map[int]*shard, len(k.shards))
	for id, s := range k.shards {
		open[id] = s
	}
	return open
}

// Begin reserves budget for a turn and returns the chain that the turn continues: the
// text of the previous turn and of all turns before it. For a request that resumes a
// stream, it also returns the build that began the stream. Every failure is reported by
// the verdict of the reply.
func (k *Keeper) Begin(ctx context.Context, r *messenger.BeginRequest, now time.Time) *messenger.BeginReply {
	s, ok := k.openShard(int(r.GetShard()), r.GetForce(), now)
	if !ok {
		return &messenger.BeginReply{Verdict: messenger.BeginReply_ELSEWHERE}
	}
	if r.GetRetain() && k.isFull() {
		return &messenger.BeginReply{Verdict: messenger.BeginReply_UNCERTAIN, Detail: "the memory for turns is used up"}
	}
	if s.needsStore(r) && !k.awaitStore(ctx, r, now) {
		return &messenger.BeginReply{Verdict: messenger.BeginReply_UNCERTAIN, Detail: "the store is away"}
	}
	if err := s.load(ctx); err != nil {
		return uncertainReply(err)
	}
	build, reply := k.findBuild(ctx, s, r)
	if reply != nil {
		return reply
	}
	chain, reply := k.findChain(ctx, s, r)
	if reply != nil {
		return reply
	}
	reply = k.reserveTurn(ctx, s, r, now)
	if reply.GetVerdict() == messenger.BeginReply_RESERVED {
		reply.Chain, reply.Build = chain, build
		s.addHints(reply, r)
	}
	return reply
}

// End settles a turn's budget reservation. If the request has Retain set, End also
// records the turn and returns once the record is in the store. The reply has Away
// set if the turn could not be recorded because the shard's partition is
// unavailable. The caller then records the turn in a fallback shard with a request
// that has Aside set; that request settles nothing. The reply has NeedsChain set if the
// shard lacks the chain of the previous turn and the caller holds it. The caller then
// sends the request again with the chain. The error is an *UnrecordableError if no home can
// record the turn.
func (k *Keeper) End(ctx context.Context, r *messenger.EndRequest, now time.Time) (*messenger.EndReply, error) {
	s, ok := k.openShard(int(r.GetShard()), r.GetForce(), now)
	if !ok {
		return &messenger.EndReply{Elsewhere: true}, nil
	}
	if !r.GetAside() {
		s.settle(r, now)
	}
	if !r.GetRetain() {
		return &messenger.EndReply{}, nil
	}
	if s.isUnavailable() && !r.GetPatient() {
		if !r.GetAside() {
			s.deferSettlement(r)
		}
		return &messenger.EndReply{Away: true}, nil
	}
	return k.endReply(s, r, k.recordTurn(ctx, s, r))
}

// endReply returns what End replies after a try to record a turn, which has failed unless err is
// nil.
func (k *Keeper) endReply(s *shard, r *messenger.EndRequest, err error) (*messenger.EndReply, error) {
	var unavailableErr *UnavailableError
	var interruptedErr *InterruptedError
	var chainErr *ChainRequiredError
	switch {
	case err == nil:
		return &messenger.EndReply{Recorded: true}, nil
	case errors.As(err, &chainErr):
		return &messenger.EndReply{NeedsChain: true}, nil
	case isUnappendable(err):
		return nil, &UnrecordableError{Cause: err}
	case errors.As(err, &interruptedErr):
		if !r.GetAside() {
			s.deferSettlement(r)
		}
		s.logUnrecorded(r, err, "shard has two homes")
		return &messenger.EndReply{Away: true}, nil
	case errors.As(err, &unavailableErr) || (!s.isLoaded() && k.isUnavailable(s.partition, time.Now())):
		s.logUnrecorded(r, err, "partition is unavailable")
		return &messenger.EndReply{Away: true}, nil
	default:
		return nil, err
	}
}

// logUnrecorded logs why a fallback shard is to record a turn.
func (s *shard) logUnrecorded(r *messenger.EndRequest, err error, reason string) {
	s.logger.Info().Err(err).Str("id", r.GetTurn()).Bool("aside", r.GetAside()).Msg("turn not recorded: " + reason)
}

// recordTurn appends a turn to the shard. The turn may continue a previous turn that
// the shard does not have. The text of the previous turn and of all turns before it
// (its chain) is then recorded together with the new turn.
func (k *Keeper) recordTurn(ctx context.Context, s *shard, r *messenger.EndRequest) error {
	if err := s.loadForEnd(ctx); err != nil {
		return err
	}
	s.keepPrevious(r, time.Now())
	chain, err := k.foreignChain(ctx, s, r)
	if err != nil {
		return err
	}
	defer k.measure()
	return s.appendTurn(ctx, r, chain)
}

// isUnavailable reports whether a partition is unavailable while the rest of the
// store answers.
func (k *Keeper) isUnavailable(p connector.Partition, now time.Time) bool {
	return k.config.Unavailable != nil && k.config.Unavailable(p, now)
}

// Tick does the periodic work on all shards in memory: it drops expired state,
// writes deferred settlements, and rewrites records that the store would soon drop.
// If the store drops records, Tick also visits the shards that this host is home of,
// a few at a time: it reads what other homes have recorded there.
// For a shard whose home is now another host, it releases the allowances, and drops
// the shard once the shard is idle.
func (k *Keeper) Tick(now time.Time) {
	defer k.measure()
	if k.config.Retention > 0 {
		k.visitShards(now)
	}
	for id, s := range k.openShards() {
		s.prune(now)
		s.flushDeferred()
		if k.config.Home(id, now) {
			if k.config.Retention > 0 {
				s.rewriteExpiring(now)
			}
			continue
		}
		s.releaseAllowances()
		if s.isIdle(now) {
			k.mu.Lock()
			delete(k.shards, id)
			k.mu.Unlock()
		}
	}
}

// Release gives back the allowances of this home, so that the next home can spend
// them, and writes the deferred changes. It is called before a planned stop and does not
// wait for the appends.
func (k *Keeper) Release() {
	for _, s := range k.openShards() {
		s.releaseAllowances()
		s.flushDeferred()
	}
}

// Size returns the number of turns in memory and the size of their texts in bytes.
func (k *Keeper) Size() (turns int, bytes int64) {
	for _, s := range k.openShards() {
		s.mu.Lock()
		turns += s.tree.Len()
		bytes += s.tree.Bytes()
		s.mu.Unlock()
	}
	return turns, bytes
}
