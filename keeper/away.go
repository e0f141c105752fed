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

func awayMessage(away bool) string {
	if away {
		return "shard takes no records"
	}
	return "shard takes records again"
}

// appended notes how an append went.
func (s *shard) appended(err error, now time.Time) {
	away := err != nil && s.keeper.away(s.partition, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if away != s.away.shut {
		s.logger.Warn().Int("waiting", len(s.queue)).Msg(awayMessage(away))
	}
	s.away.set(away)
}
