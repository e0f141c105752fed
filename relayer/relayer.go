// Package relayer reaches the platform's store: directly, or through another
// host while the store refuses this one.
package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// directTimeout bounds a direct call while another host reaches the store.
	directTimeout = 400 * time.Millisecond
	// lonelyTimeout bounds a direct call while no other host does: a slow store
	// still answers.
	lonelyTimeout = 1500 * time.Millisecond
	// readExtra is added for a read, which may bring a megabyte of a store that
	// many hosts read.
	readExtra = 600 * time.Millisecond
	// relayTimeout bounds a call through another host.
	relayTimeout = 600 * time.Millisecond
	// probeEvery is how often a store that failed is tried directly while
	// another host reaches it.
	probeEvery = 500 * time.Millisecond
	// freshness is how long a success counts as reaching the store.
	freshness = 1500 * time.Millisecond
	// recent is how long ago one partition must have answered for the failure of
	// another to be that partition's own.
	recent = 250 * time.Millisecond
	// mostRelays is how many other hosts are tried for one call.
	mostRelays = 2
)

// Relay is another host that calls the store for this one.
type Relay struct {
	Address string
	Ledger  messenger.Ledger
	Mirror  messenger.Mirror
}

// Config is what a Relayer works with.
type Config struct {
	// Direct is the store itself.
	Direct connector.Store
	// Relays returns hosts that reach the store, the best first.
	Relays   func(now time.Time) []Relay
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Relayer is a connector.Store. It is safe for concurrent use.
type Relayer struct {
	config Config

	mu sync.Mutex
	// ways has how direct calls went, by partition.
	ways map[connector.Partition]way
	// failed is when a direct call last failed.
	failed time.Time
	// lost says that the loss of the store was logged.
	lost bool
}

// way is how direct calls to one partition went. The zero value knows of none.
type way struct {
	// reached is when the store last answered.
	reached time.Time
	// failed is when a call last failed; zero after an answer.
	failed time.Time
}

// failing reports whether the last call failed, of late.
func (w way) failing(now time.Time) bool { return !w.failed.IsZero() && now.Sub(w.failed) < freshness }

// New returns a Relayer.
func New(c Config) *Relayer {
	return &Relayer{config: c, ways: make(map[connector.Partition]way)}
}

// Reaches reports whether the store has answered this host of late, at any
// partition.
func (r *Relayer) Reaches(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reaches(now)
}

// reaches needs mu to be held. Where a partition fails, another one has to have
// answered just now.
func (r *Relayer) reaches(now time.Time) bool {
	within := freshness
	for _, w := range r.ways {
		if w.failing(now) {
			within = recent
		}
	}
	for _, w := range r.ways {
		if !w.failing(now) && now.Sub(w.reached) < within {
			return true
		}
	}
	return false
}

// Available reports whether the store has answered of late, this host or one
// that it can relay through.
func (r *Relayer) Available(now time.Time) bool {
	return r.Reaches(now) || len(r.config.Relays(now)) > 0
}

// Away reports whether a partition fails while the store answers otherwise: no
// host reaches it then.
func (r *Relayer) Away(p connector.Partition, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ways[p].failing(now) && r.reaches(now)
}

// tryDirect reports whether a call should go to the store itself.
func (r *Relayer) tryDirect(relays int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return relays == 0 || r.reaches(now) || now.Sub(r.failed) >= probeEvery
}

// answered notes how a direct call went.
func (r *Relayer) answered(p connector.Partition, err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.ways[p]
	if isAnswer(err) {
		if !old.failed.IsZero() {
			r.config.Logger.Info().Str("partition", p.String()).Dur("away_ms", now.Sub(old.reached)).Msg("partition is reached again")
		}
		r.ways[p] = way{reached: now}
		if r.lost {
			r.config.Logger.Info().Str("partition", p.String()).Dur("since_ms", now.Sub(r.failed)).Msg("store is reached again")
		}
		r.lost = false
		return
	}
	r.ways[p] = way{reached: old.reached, failed: now}
	r.failed = now
	if old.failed.IsZero() {
		r.config.Logger.Warn().Err(err).Str("partition", p.String()).Dur("since_ms", now.Sub(old.reached)).Msg("partition is not reached")
	}
	if !r.lost && !r.reaches(now) {
		r.lost = true
		r.config.Logger.Warn().Err(err).Str("partition", p.String()).Msg("store is not reached")
	}
}

// isAnswer reports whether the store answered: a partition that has moved or
// was trimmed is an answer.
func isAnswer(err error) bool {
	var moved *connector.MovedError
	var trimmed *connector.TrimmedError
	return err == nil || errors.As(err, &moved) || errors.As(err, &trimmed)
}

// call makes one call to the store, directly or through another host.
func call[T any](ctx context.Context, r *Relayer, p connector.Partition, extra time.Duration,
	direct func(context.Context) (T, error), relayed func(context.Context, Relay) (T, error),
) (T, error) {
	now := time.Now()
	relays := r.config.Relays(now)
	var result T
	var err error
	if r.tryDirect(len(relays), now) {
		timeout := directTimeout
		if len(relays) == 0 {
			timeout = lonelyTimeout
		}
		limited, cancel := context.WithTimeout(ctx, timeout+extra)
		result, err = direct(limited)
		cancel()
		if ctx.Err() == nil {
			r.answered(p, err, time.Now())
		}
		if isAnswer(err) || ctx.Err() != nil || r.Away(p, time.Now()) {
			return result, err
		}
	}
	for i, relay := range relays {
		if i >= mostRelays || ctx.Err() != nil {
			break
		}
		r.config.Counters.Stages.Add("relayed", 1)
		limited, cancel := context.WithTimeout(ctx, relayTimeout)
		result, err = relayed(limited, relay)
		cancel()
		if isAnswer(err) {
			return result, err
		}
		r.config.Logger.Debug().Err(err).Str("peer", relay.Address).Msg("relay failed")
	}
	if err == nil {
		err = &connector.RefusedError{Detail: "the store failed of late"}
	}
	return result, err
}

// Append appends records.
func (r *Relayer) Append(ctx context.Context, p connector.Partition, records [][]byte, at int64) (connector.Appended, error) {
	return call(ctx, r, p, 0,
		func(ctx context.Context) (connector.Appended, error) {
			return r.config.Direct.Append(ctx, p, records, at)
		},
		func(ctx context.Context, relay Relay) (connector.Appended, error) {
			reply, err := relay.Ledger.Append(ctx, &messenger.AppendRequest{
				Topic: p.Topic, Part: int32(p.Part), Records: records, At: at,
			})
			if err != nil {
				return connector.Appended{}, &connector.LostError{Cause: err}
			}
			return connector.Appended{Offset: reply.GetOffset(), End: reply.GetEnd()}, fromFault(reply.GetFault(), p)
		})
}

// Read reads records.
func (r *Relayer) Read(ctx context.Context, p connector.Partition, from int64, wait time.Duration) (connector.Records, error) {
	return call(ctx, r, p, wait+readExtra,
		func(ctx context.Context) (connector.Records, error) {
			return r.config.Direct.Read(ctx, p, from, wait)
		},
		func(ctx context.Context, relay Relay) (connector.Records, error) {
			reply, err := relay.Mirror.Read(ctx, &messenger.ReadRequest{Topic: p.Topic, Part: int32(p.Part), From: from})
			if err != nil {
				return connector.Records{}, &connector.LostError{Cause: err}
			}
			records := connector.Records{First: reply.GetFirst(), End: reply.GetEnd(), Values: reply.GetRecords()}
			return records, fromFault(reply.GetFault(), p)
		})
}

// Newest reads the newest record of each key.
func (r *Relayer) Newest(ctx context.Context, p connector.Partition) (connector.Newest, error) {
	return call(ctx, r, p, 0,
		func(ctx context.Context) (connector.Newest, error) { return r.config.Direct.Newest(ctx, p) },
		func(ctx context.Context, relay Relay) (connector.Newest, error) {
			reply, err := relay.Mirror.Newest(ctx, &messenger.NewestRequest{Topic: p.Topic, Part: int32(p.Part)})
			if err != nil {
				return connector.Newest{}, &connector.LostError{Cause: err}
			}
			newest := connector.Newest{End: reply.GetEnd()}
			for _, i := range reply.GetItems() {
				newest.Items = append(newest.Items, connector.Item{Key: i.GetKey(), Value: i.GetValue(), Offset: i.GetOffset()})
			}
			return newest, fromFault(reply.GetFault(), p)
		})
}
