// Package navigator calls the home of a shard: the host that owns the shard by
// rendezvous hashing over the live hosts. If the home fails, the next host in
// hash order is called and becomes the home.
package navigator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
)

const (
	// beginTimeout is the time limit of one attempt of Begin. It is long because a
	// host that has just become home first reads the shard from the store, and
	// because a home may wait for an unavailable store.
	beginTimeout = 3 * time.Second
	// settleTimeout is the time limit of one attempt of Bind, and of End that does not
	// record the turn in the store.
	settleTimeout = 500 * time.Millisecond
	// suspectDuration is how long a host is avoided after a call to it failed.
	suspectDuration = 500 * time.Millisecond
	// maxAttempts is the maximum number of attempts for one call, on one host or
	// several.
	maxAttempts = 4
	// retryPause is the time between attempts. It lets this host learn of changes
	// in the membership.
	retryPause = 20 * time.Millisecond
	// firstHostWait is how long a call waits for the first known host if this host has
	// just started and does not know of any host.
	firstHostWait = 600 * time.Millisecond
	// livenessInterval is the interval at which a pending call checks whether the
	// called host is still live.
	livenessInterval = 50 * time.Millisecond
)

// Home is the interface of a host as the home of shards. It is implemented in process
// for this host and by a remote client for other hosts.
type Home interface {
	Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error)
	Bind(ctx context.Context, r *messenger.BindRequest) (*messenger.BindReply, error)
	End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error)
	Find(ctx context.Context, r *messenger.FindRequest) (*messenger.FindReply, error)
}

// Config holds the settings and dependencies of a Navigator.
type Config struct {
	// Self is the id of this host.
	Self string
	// View returns the hosts that are live and not leaving, including this host. The
	// view is empty until this host has learned of the other hosts.
	View func(now time.Time) locator.View
	// Live reports whether a host counts as live.
	Live func(host string) bool
	// Open returns the Home interface of host h: a local implementation for this host,
	// and a remote client for other hosts.
	Open     func(h descriptor.Host) Home
	Counters *counter.Set
	Logger   zerolog.Logger
}

// A Navigator calls the homes of shards and avoids hosts that failed recently. It
// is safe for concurrent use.
type Navigator struct {
	config Config

	mu sync.Mutex
	// suspects holds the hosts to which a call failed recently, by host id. The value is
	// the time until which the host is avoided.
	suspects map[string]time.Time
}

// New returns a Navigator without suspects.
func New(c Config) *Navigator { return &Navigator{config: c, suspects: make(map[string]time.Time)} }

// NoHomeError reports that no host served a call as home of the shard. Cause is the
// error of the last attempt or of the context. It is nil if every called host replied
// that it is not home, or if no host is known.
type NoHomeError struct {
	Shard int32
	Cause error
}

// Error implements the error interface.
func (e *NoHomeError) Error() string {
	return fmt.Sprintf("no host served the call as home of shard %d: %v", e.Shard, e.Cause)
}

// Unwrap returns the error of the last attempt.
func (e *NoHomeError) Unwrap() error { return e.Cause }

// NotKeptError reports that the home of the shard can't keep the build that began a stream,
// because it is of an earlier release, which has no Bind. The host is healthy. Cause is the
// error of the call.
type NotKeptError struct {
	Shard int32
	Cause error
}

// Error implements the error interface.
func (e *NotKeptError) Error() string {
	return fmt.Sprintf("the home of shard %d keeps no versions of streams: %v", e.Shard, e.Cause)
}

// Unwrap returns the error of the call.
func (e *NotKeptError) Unwrap() error { return e.Cause }

// shardKey returns the key from which rendezvous hashing finds the home of a
// shard.
func shardKey(shard int) string { return fmt.Sprintf("shard/%d", shard) }

// view returns the view of the live hosts with the current suspects marked. It
// deletes suspects that are no longer to be avoided.
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

// IsHome reports whether this host is home of a shard according to its own view. It
// also returns true while the view has no hosts: this host then trusts the caller,
// which chose this host as home.
func (n *Navigator) IsHome(shard int, now time.Time) bool {
	h, ok := n.view(now).Home(shardKey(shard), now)
	return !ok || h.ID == n.config.Self
}

// suspect marks a host that failed a call, so that other hosts are preferred for
// suspectDuration. This host itself is never marked.
func (n *Navigator) suspect(host string, cause error, now time.Time) {
	if host == n.config.Self {
		return
	}
	n.mu.Lock()
	n.suspects[host] = now.Add(suspectDuration)
	n.mu.Unlock()
	n.config.Logger.Info().Err(cause).Str("peer", host).Dur("for_ms", suspectDuration).Msg("call to home failed, avoiding the host")
}

// Begin calls Begin at the home of the request's shard: the home reserves budget for
// a turn and returns the text of the earlier turns that the turn continues (its
// chain). Begin sets r.Force. The error is a *NoHomeError.
func (n *Navigator) Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error) {
	return callHome(ctx, n, r.GetShard(), beginTimeout,
		func(ctx context.Context, h Home, force bool) (*messenger.BeginReply, bool, error) {
			r.Force = force
			reply, err := h.Begin(ctx, r)
			return reply, reply.GetVerdict() == messenger.BeginReply_ELSEWHERE, err
		})
}

// Bind calls Bind at the home of the request's shard, which keeps the build that began the
// stream of an attempt. Bind sets r.Force. The error is a *NoHomeError or a *NotKeptError.
func (n *Navigator) Bind(ctx context.Context, r *messenger.BindRequest) (*messenger.BindReply, error) {
	var notKept error
	reply, err := callHome(ctx, n, r.GetShard(), settleTimeout,
		func(ctx context.Context, h Home, force bool) (*messenger.BindReply, bool, error) {
			r.Force = force
			reply, err := h.Bind(ctx, r)
			if isMissingMethod(err) {
				notKept = &NotKeptError{Shard: r.GetShard(), Cause: err}
				return nil, false, nil
			}
			return reply, reply.GetElsewhere(), err
		})
	if err == nil {
		err = notKept
	}
	return reply, err
}

// isMissingMethod reports whether a call failed because the called host's release does not
// have the method.
func isMissingMethod(err error) bool {
	var twirpErr twirp.Error
	return errors.As(err, &twirpErr) && twirpErr.Code() == twirp.BadRoute
}

// End calls End at the home of the request's shard, which settles a turn. If the
// turn is retained, the home replies once the turn is recorded in the store or
// the shard's partition turns out to be unavailable. End sets r.Force. The error
// is a *NoHomeError.
func (n *Navigator) End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error) {
	timeout := settleTimeout
	if r.GetRetain() {
		// Recording the turn in the store may take until the deadline of ctx.
		timeout = 0
	}
	return callHome(ctx, n, r.GetShard(), timeout,
		func(ctx context.Context, h Home, force bool) (*messenger.EndReply, bool, error) {
			r.Force = force
			reply, err := h.End(ctx, r)
			return reply, reply.GetElsewhere(), err
		})
}

// callHome calls the home of a shard, in up to maxAttempts attempts. Each attempt
// calls the first host in hash order. A host that fails is marked as suspect, so
// that the next attempt goes to the next host, unless the host is merely slow.
// In the second and later attempts, the argument force of call is true: the called
// host then becomes home even if its own view names another home. The result
// elsewhere of call reports that the called host replied that it is not home.
func callHome[T any](ctx context.Context, n *Navigator, shard int32, timeout time.Duration,
	call func(ctx context.Context, h Home, force bool) (reply T, elsewhere bool, err error),
) (T, error) {
	var reply T
	var lastErr error
	for attempt := range maxAttempts {
		if attempt > 0 {
			n.config.Counters.Retried(counter.RetryHome)
			waiter.Sleep(ctx, retryPause)
		}
		ranked := n.ranked(ctx, int(shard))
		if len(ranked) == 0 || ctx.Err() != nil {
			break
		}
		h := ranked[0]
		var elsewhere, slowButLive bool
		attemptCtx, cancel := n.contextWhileLive(ctx, h.ID, timeout)
		reply, elsewhere, lastErr = call(attemptCtx, n.config.Open(h), attempt > 0)
		slowButLive = n.isSlowButLive(h.ID, attemptCtx)
		cancel()
		if lastErr == nil && !elsewhere {
			return reply, nil
		}
		if lastErr != nil && ctx.Err() == nil && !slowButLive {
			n.suspect(h.ID, lastErr, time.Now())
		}
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return reply, &NoHomeError{Shard: shard, Cause: lastErr}
}

// ranked returns the live hosts in hash order for a shard: the home first, then the
// host that becomes home if the first fails, and so on. If no host is known, because
// this host has just started, ranked waits for up to firstHostWait.
func (n *Navigator) ranked(ctx context.Context, shard int) []descriptor.Host {
	for began := time.Now(); ; waiter.Sleep(ctx, retryPause) {
		now := time.Now()
		ranked := n.view(now).Ranked(shardKey(shard), now)
		if len(ranked) > 0 || ctx.Err() != nil || now.Sub(began) > firstHostWait {
			return ranked
		}
	}
}

// HostLostError reports that a host stopped being live during a call to the host. context.Cause returns this error for the context of the call.
type HostLostError struct{ Host string }

// Error implements the error interface.
func (e *HostLostError) Error() string { return "host " + e.Host + " is not live" }

// TimeoutError reports that a host did not answer a call within the time limit of an
// attempt. context.Cause returns this error for the context of the call.
type TimeoutError struct{ Host string }

// Error implements the error interface.
func (e *TimeoutError) Error() string { return "host " + e.Host + " did not answer in time" }

// isSlowButLive reports whether a call, given by its context, failed only because the
// host was slow: the time limit passed while the host was live. Such a
// host remains the home, because another host would first have to read the shard.
func (n *Navigator) isSlowButLive(host string, call context.Context) bool {
	var timeout *TimeoutError
	return errors.As(context.Cause(call), &timeout) && n.config.Live(host)
}

// contextWhileLive returns a context for a call to a host. The context ends with
// the cause *HostLostError when the host is no longer live, and with the cause
// *TimeoutError after timeout; 0 means no timeout. Neither applies to this host
// itself.
func (n *Navigator) contextWhileLive(ctx context.Context, host string, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var expired <-chan time.Time
	if timeout > 0 {
		expired = time.After(timeout)
	}
	if host == n.config.Self {
		return ctx, func() { cancel(nil) }
	}
	go func() {
		tick := time.NewTicker(livenessInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-expired:
				cancel(&TimeoutError{Host: host})
				return
			case <-tick.C:
				if !n.config.Live(host) {
					cancel(&HostLostError{Host: host})
					return
				}
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// searchTimeout is the time limit of one Search, whose hosts are asked in parallel.
const searchTimeout = 1500 * time.Millisecond

// Search asks the homes of the given shards, in parallel, for a turn. It returns
// the turn's chain, that is, its text and that of all turns before it, and
// whether the turn was found. The result certain is true if the turn was found,
// or if every shard was searched completely and the turn does not exist there.
func (n *Navigator) Search(ctx context.Context, turn string, shards []int) (chain []byte, found, certain bool) {
	searches, ok := n.assignShards(shards, time.Now())
	if !ok {
		return nil, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	replies := make(chan *messenger.FindReply, len(searches))
	for _, s := range searches {
		go func() { replies <- n.searchHost(ctx, s, turn) }()
	}
	searchedShards := 0
	for range searches {
		reply := <-replies
		if reply.GetFound() {
			return reply.GetChain(), true, true
		}
		searchedShards += len(reply.GetCertain())
	}
	return nil, false, searchedShards == len(shards)
}

// hostSearch is a host and the shards that it is asked to search: the host is the
// home of these shards.
type hostSearch struct {
	host   descriptor.Host
	shards []int32
}

// assignShards groups shards by their home, under the home's host id. It returns
// false if a shard has no home because no host is known.
func (n *Navigator) assignShards(shards []int, now time.Time) (map[string]*hostSearch, bool) {
	view := n.view(now)
	searches := make(map[string]*hostSearch)
	for _, s := range shards {
		h, ok := view.Home(shardKey(s), now)
		if !ok {
			return nil, false
		}
		if searches[h.ID] == nil {
			searches[h.ID] = &hostSearch{host: h}
		}
		searches[h.ID].shards = append(searches[h.ID].shards, int32(s))
	}
	return searches, true
}

// searchHost asks one host to search its shards for a turn. If the call fails,
// the reply lists no shard as completely searched.
func (n *Navigator) searchHost(ctx context.Context, s *hostSearch, turn string) *messenger.FindReply {
	reply, err := n.config.Open(s.host).Find(ctx, &messenger.FindRequest{Shards: s.shards, Turn: turn})
	if err != nil {
		n.config.Logger.Info().Err(err).Str("peer", s.host.ID).Str("turn", turn).Msg("search for turn failed at host")
		return &messenger.FindReply{}
	}
	return reply
}
