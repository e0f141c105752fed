package keeper

import (
	"fmt"
	"time"

	"github.com/citronpier/citronpier/connector"
)

// UnavailableError reports that a partition accepts no appends although the rest of the
// store answers.
type UnavailableError struct{ Partition connector.Partition }

// Error returns a message with the partition's name.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("partition %s is unavailable", e.Partition)
}

// watchableFlag is a boolean whose change to true closes a channel. The zero value
// is false. It is not safe for concurrent use.
type watchableFlag struct {
	// raised is closed when value becomes true. The channel is created on first
	// use.
	raised chan struct{}
	value  bool
}

// whenSet returns a channel that is closed once the flag is true.
func (f *watchableFlag) whenSet() <-chan struct{} {
	if f.raised == nil {
		f.raised = make(chan struct{})
	}
	return f.raised
}

// set changes the flag. Changing it to false makes the next call of whenSet return
// a new channel.
func (f *watchableFlag) set(value bool) {
	if value == f.value {
		return
	}
	f.value = value
	if value {
		f.whenSet()
		close(f.raised)
		return
	}
	f.raised = nil
}

// whenUnavailable returns a channel that is closed once the partition is unavailable.
func (s *shard) whenUnavailable() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable.whenSet()
}

func (s *shard) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable.value
}

// recordAppendAnswer marks the partition as available after the store answered an
// append, with success or with a conflict.
func (s *shard) recordAppendAnswer() { s.setUnavailable(false, "partition takes appends again") }

// recordAppendFailure updates the unavailable flag after a failed append. The flag is
// set if the rest of the store answers. If the whole store is unreachable, the flag
// is cleared, since fallback shards can't take the turns either.
func (s *shard) recordAppendFailure(now time.Time) {
	if s.keeper.isUnavailable(s.partition, now) {
		s.setUnavailable(true, "partition takes no appends, turns go to fallback shards")
		return
	}
	s.setUnavailable(false, "store is unreachable, shard waits for it")
}

// setUnavailable sets the unavailable flag, and logs the message if the flag changes.
func (s *shard) setUnavailable(unavailable bool, message string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if unavailable != s.unavailable.value {
		s.logger.Warn().Int("waiting", len(s.queue)).Msg(message)
	}
	s.unavailable.set(unavailable)
}

// maxFallbackShards is how many fallback shards are tried. If a third of the
// partitions is unavailable, all three fallback shards of a shard are unavailable in
// one of 27 cases.
const maxFallbackShards = 3

// FallbackShards returns the fallback shards of the shard with the number own: the
// shards that record its turns while its partition is unavailable, in the order in
// which to try them. Since partitions with neighbouring numbers may fail together, the
// fallback shards are about half the list of shards away from own.
func FallbackShards(own, shards int) []int {
	var fallbacks []int
	for i := 1; i <= shards && len(fallbacks) < maxFallbackShards; i++ {
		if candidate := (own + shards/2 + i) % shards; candidate != own {
			fallbacks = append(fallbacks, candidate)
		}
	}
	return fallbacks
}
