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
	// reached is when the store last answered directly.
	reached time.Time
	// failed is when a direct call last failed; zero after a success.
	failed time.Time
	// lost says that the loss of the store was logged.
	lost bool
}

// New returns a Relayer.
func New(c Config) *Relayer { return &Relayer{config: c} }

// Reaches reports whether the store has answered this host of late.
func (r *Relayer) Reaches(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed.IsZero() && now.Sub(r.reached) < freshness
}

// Available reports whether the store has answered of late, this host or one
// that it can relay through.
func (r *Relayer) Available(now time.Time) bool {
	return r.Reaches(now) || len(r.config.Relays(now)) > 0
}

// tryDirect reports whether a call should go to the store itself.
func (r *Relayer) tryDirect(relays int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return relays == 0 || r.failed.IsZero() || now.Sub(r.failed) >= probeEvery
}

// answered notes how a direct call went.
func (r *Relayer) answered(err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isAnswer(err) {
		if r.lost {
			r.config.Logger.Info().Dur("away_ms", now.Sub(r.reached)).Msg("store is reached again")
		}
		r.reached, r.failed, r.lost = now, time.Time{}, false
		return
	}
	r.failed = now
	if !r.lost {
		r.lost = true
		r.config.Logger.Warn().Err(err).Dur("since_ms", now.Sub(r.reached)).Msg("store is not reached")
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
func call[T any](ctx context.Context, r *Relayer, extra time.Duration,
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
			r.answered(err, time.Now())
		}
		if isAnswer(err) || ctx.Err() != nil {
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
	return call(ctx, r, 0,
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
	return call(ctx, r, wait+readExtra,
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
	return call(ctx, r, 0,
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
