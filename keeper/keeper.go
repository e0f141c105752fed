package keeper

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
)

// FullError says that too many changes of a shard wait for the store.
type FullError struct {
	Shard   string
	Waiting int
}

// Error describes the failure.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d changes of shard %s wait for the store", e.Waiting, e.Shard)
}

// Config is what a Keeper works with.
type Config struct {
	// Incarnation names this run of the host's process.
	Incarnation string
	Store       connector.Store
	// Partitions are the shards, the same at all hosts.
	Partitions []connector.Partition
	// RecordBytes is the largest record of the store.
	RecordBytes int
	// Retention is how long the store keeps records; 0 is for ever.
	Retention time.Duration
	// Home reports whether this host is home of a shard as far as it knows.
	Home func(shard int, now time.Time) bool
	// Stored reports whether the store is reached, by any way.
	Stored func(now time.Time) bool
	// Search looks for a turn in shards of which other hosts are home. It
	// reports whether all of them were searched.
	Search   func(ctx context.Context, turn string, shards []int) (chain []byte, found, certain bool)
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Keeper is the home of the programs of some shards.
type Keeper struct {
	config Config
	// ctx ends when the host does.
	ctx      context.Context
	sequence atomic.Uint64

	mu     sync.Mutex
	shards map[int]*shard
}

// New returns a Keeper whose appends go on until ctx ends.
func New(ctx context.Context, c Config) *Keeper {
	return &Keeper{config: c, ctx: ctx, shards: make(map[int]*shard)}
}

// Shard returns the shard of a program among a number of shards.
func Shard(program string, shards int) int {
	return int(xxhash.Sum64String(program) % uint64(shards))
}

// shard returns a shard of which this host is home, or which the caller
// insists on.
func (k *Keeper) shard(id int, force bool, now time.Time) (*shard, bool) {
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
		s = &shard{partition: p, keeper: k, reading: make(chan struct{}, 1), logger: k.config.Logger.With().Str("shard", p.String()).Logger()}
		k.shards[id] = s
	}
	s.mu.Lock()
	s.used = now
	s.mu.Unlock()
	return s, true
}

// held returns the shards that this host has loaded.
func (k *Keeper) held() map[int]*shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := make(map[int]*shard, len(k.shards))
	for id, s := range k.shards {
		held[id] = s
	}
	return held
}

// Begin reserves budget for a turn and finds the chain that it continues.
func (k *Keeper) Begin(ctx context.Context, r *messenger.BeginRequest, now time.Time) *messenger.BeginReply {
	s, ok := k.shard(int(r.GetShard()), r.GetForce(), now)
	if !ok {
		return &messenger.BeginReply{Verdict: messenger.BeginReply_ELSEWHERE}
	}
	if needsStore := r.GetRetain() || !s.isLoaded(); needsStore && !k.awaitStore(ctx, r, now) {
		return &messenger.BeginReply{Verdict: messenger.BeginReply_UNCERTAIN, Detail: "the store is away"}
	}
	if err := s.load(ctx); err != nil {
		return uncertain(err)
	}
	chain, reply := k.find(ctx, s, r)
	if reply != nil {
		return reply
	}
	reply = k.reserve(ctx, s, r, now)
	if reply.GetVerdict() == messenger.BeginReply_RESERVED {
		reply.Chain = chain
		reply.Upstream = s.upstream(r.GetSession())
	}
	return reply
}

const (
	// storeWait is how long a turn waits for a store that is away: short
	// outages cost it less than coming again.
	storeWait = 1200 * time.Millisecond
	// storeStep is the time between looks.
	storeStep = 25 * time.Millisecond
	// recordWait is how long a turn waits for the records of earlier ones.
	recordWait = 1200 * time.Millisecond
	// leastRecord is how long a turn waits for them in any case: an append and
	// some.
	leastRecord = 50 * time.Millisecond
	// waitShare is the part of a turn's time, as a divisor, that it may wait:
	// the rest is needed to run it, or to come again.
	waitShare = 3
	// leastTime is the time that a turn needs to run at all.
	leastTime = 400 * time.Millisecond
)

// patience returns how long a turn may wait for what would let it run.
func patience(r *messenger.BeginRequest, most time.Duration) time.Duration {
	left := time.Duration(r.GetLeft()) * time.Millisecond
	if left < leastTime {
		return 0
	}
	return min(most, left/waitShare)
}

// awaitStore reports whether the store is reached, and waits for it for a time.
func (k *Keeper) awaitStore(ctx context.Context, r *messenger.BeginRequest, now time.Time) bool {
	until := now.Add(patience(r, storeWait))
	for {
		if k.config.Stored(now) {
			return true
		}
		if !now.Before(until) || ctx.Err() != nil {
			return false
		}
		waiter.Sleep(ctx, storeStep)
		now = time.Now()
	}
}

// reserve holds the most of a turn in its program's budget.
func (k *Keeper) reserve(ctx context.Context, s *shard, r *messenger.BeginRequest, now time.Time) *messenger.BeginReply {
	if r.GetBudget() <= 0 {
		// The program names no budget: it has no bound.
		return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED}
	}
	ctx, cancel := context.WithTimeout(ctx, max(leastRecord, patience(r, recordWait)))
	defer cancel()
	for {
		verdict, pending, err := s.hold(r, now)
		if err != nil {
			return uncertain(err)
		}
		switch v := verdict.(type) {
		case budgeter.Exceeded:
			k.config.Logger.Info().Str("program", r.GetProgram()).Str("id", r.GetTurn()).Int64("left", v.Left).
				Int64("most", r.GetMost()).Int64("budget", r.GetBudget()).Msg("budget exceeded")
			return &messenger.BeginReply{Verdict: messenger.BeginReply_EXCEEDED}
		case budgeter.Behind:
			if !k.await(ctx, pending) {
				return &messenger.BeginReply{
					Verdict: messenger.BeginReply_UNCERTAIN, Detail: "earlier turns of the program are not recorded yet",
				}
			}
		default:
			return &messenger.BeginReply{Verdict: messenger.BeginReply_RESERVED}
		}
	}
}

// await reports whether a change got into the store. Where there is none, it
// waits for a short time.
func (k *Keeper) await(ctx context.Context, c *change) bool {
	if c == nil {
		waiter.Sleep(ctx, firstPause)
		return ctx.Err() == nil
	}
	select {
	case <-c.done:
		return c.err == nil
	case <-ctx.Done():
		return false
	}
}

func uncertain(err error) *messenger.BeginReply {
	return &messenger.BeginReply{Verdict: messenger.BeginReply_UNCERTAIN, Detail: err.Error()}
}

// find returns the chain that a turn continues, or the reply where there is
// none to be had.
func (k *Keeper) find(ctx context.Context, s *shard, r *messenger.BeginRequest) ([]byte, *messenger.BeginReply) {
	if r.GetPrevious() == "" || r.GetCached() {
		return nil, nil
	}
	if chain, ok := s.chain(r.GetPrevious()); ok {
		return chain, nil
	}
	if err := s.refresh(ctx); err != nil {
		return nil, uncertain(err)
	}
	if chain, ok := s.chain(r.GetPrevious()); ok {
		return chain, nil
	}
	chain, found, certain := k.search(ctx, s, r)
	switch {
	case found:
		s.adopt(r.GetPrevious(), chain)
		return chain, nil
	case certain:
		return nil, &messenger.BeginReply{Verdict: messenger.BeginReply_MISSING}
	default:
		return nil, &messenger.BeginReply{
			Verdict: messenger.BeginReply_UNCERTAIN, Detail: "not every shard could be searched",
		}
	}
}

// search looks for a turn in all other shards: a new program may continue a
// turn of another one.
func (k *Keeper) search(ctx context.Context, s *shard, r *messenger.BeginRequest) (chain []byte, found, certain bool) {
	var others []int
	for id := range k.config.Partitions {
		if k.config.Partitions[id] != s.partition {
			others = append(others, id)
		}
	}
	k.config.Counters.Stages.Add("searched", 1)
	return k.config.Search(ctx, r.GetPrevious(), others)
}

// Find looks for a turn in shards, each read to its end first.
func (k *Keeper) Find(ctx context.Context, r *messenger.FindRequest, now time.Time) *messenger.FindReply {
	reply := &messenger.FindReply{}
	for _, id := range r.GetShards() {
		s, ok := k.shard(int(id), true, now)
		if !ok {
			continue
		}
		if chain, ok := s.chain(r.GetTurn()); ok {
			return &messenger.FindReply{Found: true, Chain: chain}
		}
		if err := s.refresh(ctx); err != nil {
			k.config.Logger.Debug().Err(err).Int32("shard", id).Msg("shard not searched")
			continue
		}
		if chain, ok := s.chain(r.GetTurn()); ok {
			return &messenger.FindReply{Found: true, Chain: chain}
		}
		reply.Certain = append(reply.Certain, id)
	}
	return reply
}

// End settles a turn and, where it is retained, records it.
func (k *Keeper) End(ctx context.Context, r *messenger.EndRequest, now time.Time) (*messenger.EndReply, error) {
	s, ok := k.shard(int(r.GetShard()), r.GetForce(), now)
	if !ok {
		return &messenger.EndReply{Elsewhere: true}, nil
	}
	s.settle(r, now)
	if !r.GetRetain() {
		return &messenger.EndReply{}, nil
	}
	if err := s.load(ctx); err != nil {
		return nil, err
	}
	if err := s.record(ctx, r); err != nil {
		return nil, err
	}
	return &messenger.EndReply{Recorded: true}, nil
}

// record appends a turn and returns once it is in the store.
func (s *shard) record(ctx context.Context, r *messenger.EndRequest) error {
	c := newChange(r.GetProgram(), turnChange{turn: turnRecord(r)})
	s.mu.Lock()
	known := s.tree.Has(r.GetTurn())
	var err error
	if !known {
		err = s.submit(c)
	}
	s.mu.Unlock()
	if known || err != nil {
		return err
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// adopt keeps a chain of another shard until a turn that continues it is
// recorded here with it.
func (s *shard) adopt(turn string, chain []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.imported == nil {
		s.imported = make(map[string][]byte)
	}
	s.imported[turn] = chain
}

// settleLazily has settlements that no append has taken along written.
func (s *shard) settleLazily() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
}

// idle reports whether the shard may be dropped.
func (s *shard) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.used) > shardKept && !s.writing && len(s.queue) == 0
}

// shardKept is how long a shard that has another home is held for stragglers.
const shardKept = 20 * time.Second

// Tick drops what is no longer kept, and gives back the allowances of shards
// that have another home now.
func (k *Keeper) Tick(now time.Time) {
	for id, s := range k.held() {
		s.prune(now)
		s.settleLazily()
		if k.config.Home(id, now) {
			if k.config.Retention > 0 {
				s.renew(now)
			}
			continue
		}
		s.release()
		if s.idle(now) {
			k.mu.Lock()
			delete(k.shards, id)
			k.mu.Unlock()
		}
	}
}

// Release gives back the allowances before a planned stop.
func (k *Keeper) Release() {
	for _, s := range k.held() {
		s.release()
	}
}

// Size returns the number of turns held and the bytes of their texts.
func (k *Keeper) Size() (turns int, bytes int64) {
	for _, s := range k.held() {
		s.mu.Lock()
		turns += s.tree.Len()
		bytes += s.tree.Bytes()
		s.mu.Unlock()
	}
	return turns, bytes
}
