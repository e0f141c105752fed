package citronpier

import (
	"context"
	"net/http"
	"time"

	"github.com/citronpier/citronpier/internal/waiter"
)

const (
	// stopMargin is how long before the end of the grace period the remaining
	// requests are aborted.
	stopMargin = 400 * time.Millisecond
	// lastResponseTime is how long before that the last request must reach its deadline,
	// so that its response can still be written.
	lastResponseTime = 200 * time.Millisecond
	// minDrainPeriod is the minimum time for which a stopping host still accepts
	// connections. It is longer than directoryTTL, the time for which callers may
	// use the host's address after they received it.
	minDrainPeriod = 2500 * time.Millisecond
	// drainQuietTime is the time without a new request after which the drain
	// period may end.
	drainQuietTime = time.Second
	// shutdownDivisor determines the part of the grace period that is reserved
	// for finishing the last requests: 1/shutdownDivisor, a quarter.
	shutdownDivisor = 4
)

// stop performs a planned stop. The host announces that it is leaving, serves the
// requests that still arrive during the drain period and end in time, closes its listeners
// for callers and waits for the remaining requests. Shortly before the end of the
// grace period it aborts the requests that are still running.
func (e *Entry) stop(callers []*http.Server) {
	began := time.Now()
	aborted := began.Add(e.config.Grace - stopMargin)
	lastDeadline := aborted.Add(-lastResponseTime)
	e.lastDeadline.Store(&lastDeadline)
	e.config.Logger.Info().Int64("active", e.active.Load()).Msg("stopping")
	e.members.invalidate()
	e.gossiper.Publish(began)
	go e.deregister(e.background)
	e.keeper.Release()
	e.awaitDrained(began)
	ctx, cancel := context.WithDeadline(context.Background(), aborted)
	defer cancel()
	for _, s := range callers {
		if err := s.Shutdown(ctx); err != nil {
			e.config.Logger.Warn().Err(err).Int64("active", e.active.Load()).Msg("grace period ended, remaining requests are cut")
		}
	}
	for (e.active.Load() > 0 || e.hasBacklog()) && ctx.Err() == nil {
		waiter.Sleep(ctx, drainPollInterval)
	}
}

// Stopping reports whether the host is stopping, so that callers should open
// their next connection to another host.
func (e *Entry) Stopping() bool { return e.lastDeadline.Load() != nil }

// latestDeadline returns the latest deadline of a request that this host may still send to
// an upstream, and false if the host is not stopping.
func (e *Entry) latestDeadline() (time.Time, bool) {
	latest := e.lastDeadline.Load()
	if latest == nil {
		return time.Time{}, false
	}
	return *latest, true
}

// drainPollInterval is the time between two checks whether requests are still
// running or arriving.
const drainPollInterval = 50 * time.Millisecond

// awaitDrained waits until the drain period of a stop has ended. The parameter
// began is when the stop began.
func (e *Entry) awaitDrained(began time.Time) {
	for !e.drained(began, time.Now()) {
		time.Sleep(drainPollInterval)
	}
}

// drained reports whether the drain period of a stop has ended: either no request
// is running and none has arrived recently, or the time reserved for finishing
// requests has begun.
func (e *Entry) drained(began, now time.Time) bool {
	elapsed := now.Sub(began)
	quiet := now.UnixNano()-e.lastRequest.Load() > int64(drainQuietTime) && e.active.Load() == 0
	return elapsed >= e.config.Grace-e.config.Grace/shutdownDivisor || (elapsed >= minDrainPeriod && quiet)
}
