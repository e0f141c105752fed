package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
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
	// Away reports whether a partition fails while the store answers otherwise.
	Away func(p connector.Partition, now time.Time) bool
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

// find returns the chain that a turn continues, or the reply where there is
// none to be had.
func (k *Keeper) find(ctx context.Context, s *shard, r *messenger.BeginRequest) ([]byte, *messenger.BeginReply) {
	if r.GetPrevious() == "" || r.GetCached() {
		return nil, nil
	}
	chain, err := k.locate(ctx, s, r.GetPrevious())
	var missing *MissingError
	switch {
	case err == nil:
		return chain, nil
	case errors.As(err, &missing):
		return nil, &messenger.BeginReply{Verdict: messenger.BeginReply_MISSING}
	default:
		return nil, uncertain(err)
	}
}

// MissingError says that no shard has a turn: each was read to its end.
type MissingError struct{ Turn string }

// Error describes the failure.
func (e *MissingError) Error() string { return "no shard has turn " + e.Turn }

// SearchError says that not every shard could be searched for a turn.
type SearchError struct{ Turn string }

// Error describes the failure.
func (e *SearchError) Error() string { return "not every shard could be searched for turn " + e.Turn }

// locate returns the chain of a turn, wherever it is kept.
func (k *Keeper) locate(ctx context.Context, s *shard, turn string) ([]byte, error) {
	if chain, ok := s.chain(turn); ok {
		return chain, nil
	}
	// While its partition is away, the shard's turns are recorded in others.
	away := s.isAway()
	if !away {
		err := s.refresh(ctx)
		away = err != nil && k.away(s.partition, time.Now())
		if err != nil && !away {
			return nil, err
		}
		if chain, ok := s.chain(turn); ok {
			return chain, nil
		}
	}
	chain, found, certain := k.search(ctx, s, turn)
	switch {
	case found:
		s.adopt(turn, chain)
		return chain, nil
	case certain && !away:
		return nil, &MissingError{Turn: turn}
	default:
		return nil, &SearchError{Turn: turn}
	}
}

// search looks for a turn in all other shards: a new program may continue a
// turn of another one.
func (k *Keeper) search(ctx context.Context, s *shard, turn string) (chain []byte, found, certain bool) {
	var others []int
	for id := range k.config.Partitions {
		if k.config.Partitions[id] != s.partition {
			others = append(others, id)
		}
	}
	k.config.Counters.Stages.Add("searched", 1)
	return k.config.Search(ctx, turn, others)
}

// Find looks for a turn in shards. Those that do not have it in memory are read
// to their end.
func (k *Keeper) Find(ctx context.Context, r *messenger.FindRequest, now time.Time) *messenger.FindReply {
	shards := make(map[int32]*shard)
	for _, id := range r.GetShards() {
		s, ok := k.shard(int(id), true, now)
		if !ok {
			continue
		}
		if chain, ok := s.chain(r.GetTurn()); ok {
			return &messenger.FindReply{Found: true, Chain: chain}
		}
		shards[id] = s
	}
	reply := &messenger.FindReply{}
	for id, s := range shards {
		if s.isAway() {
			continue
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

// End settles a turn and, where it is retained, records it. Where that can't be
// done while the shard's partition is away, the reply says so.
func (k *Keeper) End(ctx context.Context, r *messenger.EndRequest, now time.Time) (*messenger.EndReply, error) {
	s, ok := k.shard(int(r.GetShard()), r.GetForce(), now)
	if !ok {
		return &messenger.EndReply{Elsewhere: true}, nil
	}
	if !r.GetAside() {
		s.settle(r, now)
	}
	if !r.GetRetain() {
		return &messenger.EndReply{}, nil
	}
	if s.isAway() && !r.GetPatient() {
		if !r.GetAside() {
			s.settleLater(r)
		}
		return &messenger.EndReply{Away: true}, nil
	}
	err := k.keep(ctx, s, r)
	var away *AwayError
	switch {
	case err == nil:
		return &messenger.EndReply{Recorded: true}, nil
	case errors.As(err, &away) || (!s.isLoaded() && k.away(s.partition, time.Now())):
		k.config.Logger.Info().Err(err).Str("id", r.GetTurn()).Str("shard", s.partition.String()).
			Bool("aside", r.GetAside()).Msg("turn not recorded in its shard")
		return &messenger.EndReply{Away: true}, nil
	default:
		return nil, err
	}
}

// keep records a turn, with its chain where that is of another shard.
func (k *Keeper) keep(ctx context.Context, s *shard, r *messenger.EndRequest) error {
	if err := s.load(ctx); err != nil {
		return err
	}
	if r.GetAside() {
		return s.record(ctx, r, s.missing(r))
	}
	origin, err := k.origin(ctx, s, r.GetPrevious())
	if err != nil {
		return err
	}
	return s.record(ctx, r, origin)
}

// away reports whether a partition fails while the store answers otherwise.
func (k *Keeper) away(p connector.Partition, now time.Time) bool {
	return k.config.Away != nil && k.config.Away(p, now)
}

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
