package keeper

import (
	"fmt"
	"time"

	"github.com/citronpier/citronpier/connector"
)

// AwayError says that a partition takes no appends though the store answers
// otherwise.
type AwayError struct{ Partition connector.Partition }

// Error describes the failure.
func (e *AwayError) Error() string { return fmt.Sprintf("partition %s is away", e.Partition) }

// gate is closed while something is the case. The zero value is open.
type gate struct {
	closed chan struct{}
	shut   bool
}

// signal returns a channel that is closed once the gate is.
func (g *gate) signal() <-chan struct{} {
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
	return g.closed
}

// set closes or opens the gate.
func (g *gate) set(shut bool) {
	if shut == g.shut {
		return
	}
	g.shut = shut
	if shut {
		g.signal()
		close(g.closed)
		return
	}
	g.closed = nil
}

// awaySignal returns a channel that is closed once the partition is away.
func (s *shard) awaySignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away.signal()
}

func (s *shard) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away.shut
}

// answered notes that the store answered an append.
func (s *shard) answered() { s.setAway(false, "shard takes records again") }

// failed notes that an append failed: the partition is away if the store answers
// otherwise.
func (s *shard) failed(now time.Time) {
	if s.keeper.away(s.partition, now) {
		s.setAway(true, "shard takes no records")
		return
	}
	s.setAway(false, "shard waits for the store")
}

// setAway shuts or opens the gate, and logs where that is a change.
func (s *shard) setAway(away bool, message string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if away != s.away.shut {
		s.logger.Warn().Int("waiting", len(s.queue)).Msg(message)
	}
	s.away.set(away)
}

// asideTries is how many other shards are tried: where a third of the partitions
// is away, all of these are in one of 27 cases.
const asideTries = 3

// AsideShards returns the shards that take a shard's turns while its partition is
// away, in order. They are far from it in the list: its neighbours may share its
// fate.
func AsideShards(own, shards int) []int {
	var others []int
	for i := 1; i <= shards && len(others) < asideTries; i++ {
		if other := (own + shards/2 + i) % shards; other != own {
			others = append(others, other)
		}
	}
	return others
}
