package keeper

import "time"

// visitDivisor sets how often a Keeper looks whether it is home of a shard that it has
// not read: once in an eighth of the store's retention. A new home then reads the records
// that an earlier home left, and writes them again in time.
const visitDivisor = 8

// visits goes round all shards at an even pace. It is not safe for concurrent use.
type visits struct {
	// next is the shard to visit next.
	next int
	// last is when the last visit was due.
	last time.Time
}

// due returns the shards to visit now, if each of the given number of shards is visited
// once in a round. The first call returns none.
func (v *visits) due(shards int, round time.Duration, now time.Time) []int {
	if v.last.IsZero() {
		v.last = now
	}
	// After a pause, one round at most is due.
	if now.Sub(v.last) > round {
		v.last = now.Add(-round)
	}
	pace := round / time.Duration(max(1, shards))
	if pace <= 0 {
		return nil
	}
	var due []int
	for shards > 0 && now.Sub(v.last) >= pace {
		v.last = v.last.Add(pace)
		due = append(due, v.next%shards)
		v.next = (v.next + 1) % shards
	}
	return due
}

// visitShards starts to read the shards whose visit is due, which this host is home of
// and has not read since it became home. It does not wait for the reads.
func (k *Keeper) visitShards(now time.Time) {
	k.mu.Lock()
	due := k.visits.due(len(k.config.Partitions), k.config.Retention/visitDivisor, now)
	k.mu.Unlock()
	for _, id := range due {
		if s, ok := k.openShard(id, false, now); ok {
			s.visit()
		}
	}
}

// visit starts to read the shard, unless this home has read it.
func (s *shard) visit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded || s.hadOtherHome {
		s.startLoading()
	}
}

// noteOtherHome notes that another host is home of the shard. It may append records that
// this host does not read.
func (s *shard) noteOtherHome() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hadOtherHome = true
}
