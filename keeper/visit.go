package keeper

import "time"

// visitDivisor sets how often a Keeper visits each shard that it is home of: once in an
// eighth of the store's retention. A home writes records again that are older than half of
// the retention; within two visits the next home has read them, and has a quarter of the
// retention left to write them again.
const visitDivisor = 8

// visits goes round all shards at an even pace. It is not safe for concurrent use.
type visits struct {
	// next is the shard to visit next.
	next int
	// last is when the last visit was due.
	last time.Time
}

// due returns the shards to visit now, if each of the given number of shards is visited
// once in a round. The first call returns none. After a pause of more than a round, paused is
// true and all shards are due.
func (v *visits) due(shards int, round time.Duration, now time.Time) (due []int, paused bool) {
	if v.last.IsZero() {
		v.last = now
	}
	if paused = now.Sub(v.last) > round; paused {
		v.last = now.Add(-round)
	}
	pace := round / time.Duration(max(1, shards))
	if pace <= 0 {
		return nil, paused
	}
	for shards > 0 && now.Sub(v.last) >= pace {
		v.last = v.last.Add(pace)
		due = append(due, v.next%shards)
		v.next = (v.next + 1) % shards
	}
	return due, paused
}

// visitShards starts to read the shards whose visit is due, which this host is home of. It
// does not wait for the reads.
func (k *Keeper) visitShards(now time.Time) {
	k.mu.Lock()
	due, paused := k.visits.due(len(k.config.Partitions), k.config.Retention/visitDivisor, now)
	k.mu.Unlock()
	for _, id := range due {
		if s, ok := k.openShard(id, false, now); ok {
			s.visit(paused)
		}
	}
}

// visit starts to read the shard to its end, unless this home has done so since the last
// visit and has not been paused. Another host may have been home in between, also without this
// one's knowledge: it stood still, or its view of the membership was behind. What that home
// recorded has to be written again by this one.
func (s *shard) visit(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if paused || !s.readSinceVisit {
		s.startLoading()
	}
	s.readSinceVisit = false
}
