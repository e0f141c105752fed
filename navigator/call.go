package navigator

import (
	"context"
	"errors"
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
)

// callHome calls the home of a shard, in up to maxAttempts attempts. Each attempt
// calls the first host in hash order. A host that fails is marked as suspect, so
// that the next attempt goes to the next host, unless the host is merely slow.
// In the second and later attempts, the argument force of call is true: the called
// host then becomes home even if its own view names another home. The result
// elsewhere of call reports that the called host replied that it is not home. An *answerError of
// call ends the attempts.
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
		var answer *answerError
		if errors.As(lastErr, &answer) {
			return reply, answer.Answer
		}
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
