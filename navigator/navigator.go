// Package navigator calls the home of a shard: the host that owns the shard by
// rendezvous hashing over the live hosts. If the home fails, the next host in
// hash order is called and becomes the home.
package navigator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
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
