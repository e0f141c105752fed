package relayer

import (
	"errors"
	"time"

	"github.com/citronpier/citronpier/connector"
)

const (
	// directRetryInterval is the time between a failed direct call and the next
	// direct call, while the store is unreachable from this host and other hosts can
	// relay calls.
	directRetryInterval = 500 * time.Millisecond
	// reachableWindow is how long the store counts as reachable after it has answered
	// a call, and how long a partition counts as failing after a call to it failed.
	reachableWindow = 1500 * time.Millisecond
	// otherPartitionWindow limits the age of another partition's last answer while a
	// partition fails. If another partition has answered within this time, only the
	// failing partition is blamed, and otherwise the path from this host to the store.
	otherPartitionWindow = 250 * time.Millisecond
)

// directCalls records the outcome of direct calls to one partition. The zero value
// means that there were no direct calls.
type directCalls struct {
	// lastAnswer is when the store last answered.
	lastAnswer time.Time
	// lastFailure is when the latest call failed; zero if it was answered.
	lastFailure time.Time
}

// failing reports whether the latest call failed, less than reachableWindow ago.
func (d directCalls) failing(now time.Time) bool {
	return !d.lastFailure.IsZero() && now.Sub(d.lastFailure) < reachableWindow
}

// ReachesDirectly reports whether this host reaches the store directly: whether any
// partition has answered recently.
func (r *Relayer) ReachesDirectly(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reachesDirectly(now)
}

// reachesDirectly implements ReachesDirectly; the caller must hold r.mu. While any
// partition is failing, another partition must have answered within
// otherPartitionWindow instead of reachableWindow.
func (r *Relayer) reachesDirectly(now time.Time) bool {
	window := reachableWindow
	for _, d := range r.byPartition {
		if d.failing(now) {
			window = otherPartitionWindow
		}
	}
	for _, d := range r.byPartition {
		if !d.failing(now) && now.Sub(d.lastAnswer) < window {
			return true
		}
	}
	return false
}

// Available reports whether the store has recently answered this host, or another
// host that can relay calls for this host.
func (r *Relayer) Available(now time.Time) bool {
	return r.ReachesDirectly(now) || len(r.config.Relays()) > 0
}

// Unavailable reports whether a partition is unavailable: direct calls to it fail while
// other partitions answer. Relaying through another host would not help then.
func (r *Relayer) Unavailable(p connector.Partition, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byPartition[p].failing(now) && r.reachesDirectly(now)
}

// tryDirect reports whether a call should be made directly: if there is no relay,
// if this host reaches the store, or if the last direct call failed long enough
// ago to try again.
func (r *Relayer) tryDirect(relays int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return relays == 0 || r.reachesDirectly(now) || now.Sub(r.lastFailure) >= directRetryInterval
}

// recordDirectCall records the outcome of a direct call to a partition. It logs
// when the partition or the whole store becomes unreachable or reachable again.
func (r *Relayer) recordDirectCall(p connector.Partition, err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.byPartition[p]
	if isAnswer(err) {
		if !old.lastFailure.IsZero() {
			r.config.Logger.Info().Str("partition", p.String()).Dur("away_ms", now.Sub(old.lastAnswer)).Msg("partition reachable again")
		}
		r.byPartition[p] = directCalls{lastAnswer: now}
		if r.lossLogged {
			r.config.Logger.Info().Str("partition", p.String()).Dur("since_ms", now.Sub(r.lastFailure)).Msg("store reachable again")
		}
		r.lossLogged = false
		if !old.lastFailure.IsZero() {
			r.announceRecovery()
		}
		return
	}
	r.byPartition[p] = directCalls{lastAnswer: old.lastAnswer, lastFailure: now}
	r.lastFailure = now
	if old.lastFailure.IsZero() {
		r.config.Logger.Warn().Err(err).Str("partition", p.String()).Dur("since_ms", now.Sub(old.lastAnswer)).Msg("partition unreachable")
	}
	if !r.lossLogged && !r.reachesDirectly(now) {
		r.lossLogged = true
		r.config.Logger.Warn().Err(err).Str("partition", p.String()).Msg("store unreachable")
	}
}

// announceRecovery wakes the reads that wait for an answer. The caller must hold r.mu.
func (r *Relayer) announceRecovery() {
	if r.recovered != nil {
		close(r.recovered)
		r.recovered = nil
	}
}

// whenRecovered returns a channel that is closed when the store answers this host after calls
// have failed.
func (r *Relayer) whenRecovered() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovered == nil {
		r.recovered = make(chan struct{})
	}
	return r.recovered
}

// isAnswer reports whether err means that the store answered the call. Besides
// success, these are the answers that a partition ends at another offset than an
// append expected, that the records of a read have been trimmed, and that a call is too
// large.
func isAnswer(err error) bool {
	var mismatch *connector.EndMismatchError
	var trimmed *connector.TrimmedError
	return err == nil || errors.As(err, &mismatch) || errors.As(err, &trimmed) || connector.IsTooLarge(err)
}
