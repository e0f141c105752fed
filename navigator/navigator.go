// Package navigator finds the home of a shard and calls it, and the next host
// in order where the home does not answer.
package navigator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// beginTimeout bounds one try of a Begin: a home that has just taken over
	// reads its shard first, and one may wait for the store.
	beginTimeout = 3 * time.Second
	// settleTimeout bounds one try of an End that records nothing.
	settleTimeout = 500 * time.Millisecond
	// suspicion is how long a host that failed a call is avoided.
	suspicion = 500 * time.Millisecond
	// mostTries is how many hosts are tried for one call.
	mostTries = 4
	// pause is the time between tries: membership may settle meanwhile.
	pause = 20 * time.Millisecond
	// strangerWait is how long a call waits for the first host to be known.
	strangerWait = 600 * time.Millisecond
	// livenessEvery is how often a waiting call looks whether its home lives.
	livenessEvery = 50 * time.Millisecond
)

// Home is the interface of a home, here or elsewhere.
type Home interface {
	Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error)
	End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error)
	Find(ctx context.Context, r *messenger.FindRequest) (*messenger.FindReply, error)
}

// Config is what a Navigator works with.
type Config struct {
	Self string
	// View returns the hosts that are live and not leaving, this one included. It
	// is empty before the others are known.
	View func(now time.Time) locator.View
	// Live reports whether a host is heard of.
	Live func(host string, now time.Time) bool
	// Open returns a host's Home.
	Open     func(h descriptor.Host) Home
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Navigator calls homes.
type Navigator struct {
	config Config

	mu       sync.Mutex
	suspects map[string]time.Time
}

// New returns a Navigator.
func New(c Config) *Navigator { return &Navigator{config: c, suspects: make(map[string]time.Time)} }

// HomelessError says that no home of a shard answered.
type HomelessError struct {
	Shard int32
	Cause error
}

// Error describes the failure.
func (e *HomelessError) Error() string {
	return fmt.Sprintf("no home of shard %d answered: %v", e.Shard, e.Cause)
}

// Unwrap returns the cause.
func (e *HomelessError) Unwrap() error { return e.Cause }

// shardKey is what the homes of a shard are hashed by.
func shardKey(shard int) string { return fmt.Sprintf("shard/%d", shard) }

// view returns the live hosts, suspects marked.
func (n *Navigator) view(now time.Time) locator.View {
	v := n.config.View(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	for host, until := range n.suspects {
		if now.Before(until) {
			v = v.WithSuspect(host, until)
		} else {
			delete(n.suspects, host)
		}
	}
	return v
}

// IsHome reports whether this host is home of a shard as far as it knows. A host
// that knows none yet leaves that to the one that asks.
func (n *Navigator) IsHome(shard int, now time.Time) bool {
	h, ok := n.view(now).Home(shardKey(shard), now)
	return !ok || h.ID == n.config.Self
}

// suspect avoids a host that failed a call.
func (n *Navigator) suspect(host string, cause error, now time.Time) {
	if host == n.config.Self {
		return
	}
	n.mu.Lock()
	n.suspects[host] = now.Add(suspicion)
	n.mu.Unlock()
	n.config.Logger.Info().Err(cause).Str("peer", host).Dur("for_ms", suspicion).Msg("host is avoided as home")
}

// Begin reserves budget for a turn and finds the chain that it continues.
func (n *Navigator) Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error) {
	return visit(ctx, n, r.GetShard(), beginTimeout,
		func(ctx context.Context, h Home, force bool) (*messenger.BeginReply, bool, error) {
			r.Force = force
			reply, err := h.Begin(ctx, r)
			return reply, reply.GetVerdict() == messenger.BeginReply_ELSEWHERE, err
		})
}

// End settles a turn and, where it is retained, returns once it is recorded.
func (n *Navigator) End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error) {
	timeout := settleTimeout
	if r.GetRetain() {
		// The append goes on until the caller's time is over.
		timeout = 0
	}
	return visit(ctx, n, r.GetShard(), timeout,
		func(ctx context.Context, h Home, force bool) (*messenger.EndReply, bool, error) {
			r.Force = force
			reply, err := h.End(ctx, r)
			return reply, reply.GetElsewhere(), err
		})
}

// visit calls the home of a shard, and hosts after it in order.
func visit[T any](ctx context.Context, n *Navigator, shard int32, timeout time.Duration,
	call func(ctx context.Context, h Home, force bool) (reply T, elsewhere bool, err error),
) (T, error) {
	var reply T
	var last error
	for try := range mostTries {
		if try > 0 {
			n.config.Counters.Retried(counter.RetryHome)
			waiter.Sleep(ctx, pause)
		}
		ranked := n.ranked(ctx, int(shard))
		if len(ranked) == 0 || ctx.Err() != nil {
			break
		}
		h := ranked[0]
		var elsewhere, slow bool
		limited, cancel := n.whileLive(ctx, h.ID, timeout)
		reply, elsewhere, last = call(limited, n.config.Open(h), try > 0)
		now := time.Now()
		slow = n.vouched(h.ID, limited, now)
		cancel()
		if last == nil && !elsewhere {
			return reply, nil
		}
		if last != nil && ctx.Err() == nil && !slow {
			n.suspect(h.ID, last, now)
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return reply, &HomelessError{Shard: shard, Cause: last}
}

// ranked returns the hosts in the order in which they become home of a shard.
// It waits for a time where none is known: this host may have just started.
func (n *Navigator) ranked(ctx context.Context, shard int) []descriptor.Host {
	for began := time.Now(); ; waiter.Sleep(ctx, pause) {
		now := time.Now()
		ranked := n.view(now).Ranked(shardKey(shard), now)
		if len(ranked) > 0 || ctx.Err() != nil || now.Sub(began) > strangerWait {
			return ranked
		}
	}
}

// GoneError says that a host fell silent during a call.
type GoneError struct{ Host string }

// Error describes the failure.
func (e *GoneError) Error() string { return "host " + e.Host + " fell silent" }

// TardyError says that a host that is heard of did not answer in time.
type TardyError struct{ Host string }

// Error describes the failure.
func (e *TardyError) Error() string { return "host " + e.Host + " did not answer in time" }

// vouched reports whether a host whose call failed is merely slow: its
// heartbeats come, and another home would have to read the shard first.
func (n *Navigator) vouched(host string, call context.Context, now time.Time) bool {
	var tardy *TardyError
	return errors.As(context.Cause(call), &tardy) && n.config.Live(host, now)
}

// whileLive returns a context that ends when the host is no longer heard of or
// a time is over; 0 is no bound.
func (n *Navigator) whileLive(ctx context.Context, host string, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var expired <-chan time.Time
	if timeout > 0 {
		expired = time.After(timeout)
	}
	if host == n.config.Self {
		return ctx, func() { cancel(nil) }
	}
	go func() {
		tick := time.NewTicker(livenessEvery)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-expired:
				cancel(&TardyError{Host: host})
				return
			case now := <-tick.C:
				if !n.config.Live(host, now) {
					cancel(&GoneError{Host: host})
					return
				}
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// searchTimeout bounds the search of one host's shards.
const searchTimeout = 1500 * time.Millisecond

// Search looks for a turn in shards, at their homes. It is certain where every
// shard was read to its end.
func (n *Navigator) Search(ctx context.Context, turn string, shards []int) (chain []byte, found, certain bool) {
	errands, ok := n.errands(shards, time.Now())
	if !ok {
		return nil, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	replies := make(chan *messenger.FindReply, len(errands))
	for _, e := range errands {
		go func() { replies <- n.find(ctx, e, turn) }()
	}
	searched := 0
	for range errands {
		reply := <-replies
		if reply.GetFound() {
			return reply.GetChain(), true, true
		}
		searched += len(reply.GetCertain())
	}
	return nil, false, searched == len(shards)
}

// errand is a host and the shards that it is asked to search.
type errand struct {
	host   descriptor.Host
	shards []int32
}

// errands returns which host is asked for which shards. It is false where a
// shard has no home.
func (n *Navigator) errands(shards []int, now time.Time) (map[string]*errand, bool) {
	view := n.view(now)
	errands := make(map[string]*errand)
	for _, s := range shards {
		h, ok := view.Home(shardKey(s), now)
		if !ok {
			return nil, false
		}
		if errands[h.ID] == nil {
			errands[h.ID] = &errand{host: h}
		}
		errands[h.ID].shards = append(errands[h.ID].shards, int32(s))
	}
	return errands, true
}

// find asks one host. A failure is a reply that is certain of nothing.
func (n *Navigator) find(ctx context.Context, e *errand, turn string) *messenger.FindReply {
	reply, err := n.config.Open(e.host).Find(ctx, &messenger.FindRequest{Shards: e.shards, Turn: turn})
	if err != nil {
		n.config.Logger.Info().Err(err).Str("peer", e.host.ID).Str("turn", turn).Msg("shards not searched")
		return &messenger.FindReply{}
	}
	return reply
}
