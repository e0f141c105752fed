package admitter

import "time"

// Reason is why a turn was admitted or refused.
type Reason string

// The reasons for which a turn is admitted.
const (
	// Begun means that the turn belongs to a program that is under way.
	Begun Reason = "begun"
	// Calm means that the upstreams are not overloaded.
	Calm Reason = "calm"
	// Share means that the turn is in the part of the first turns that the upstreams can serve.
	Share Reason = "share"
	// Starved means that no first turn of the route was admitted for maxDrought.
	Starved Reason = "starved"
)

// The reasons for which a turn is refused.
const (
	// Hopeless means that the program would not end within twice its target duration.
	Hopeless Reason = "hopeless"
	// Excess means that the turn is in the part of the first turns that the upstreams can't
	// serve.
	Excess Reason = "excess"
)

// Decision is what is to be done with a turn: Admitted or Refused. No turn waits at the host:
// queues of upstreams are the only ones.
type Decision interface{ decision() }

// Admitted means that the turn may be sent to an upstream now.
type Admitted struct {
	Reason Reason
	Inputs Inputs
}

// Refused means that the turn must not run.
type Refused struct {
	Reason Reason
	// Retry is the time after which capacity is expected. It differs between requests, so that
	// callers return one by one.
	Retry  time.Duration
	Inputs Inputs
}

func (Admitted) decision() {}
func (Refused) decision()  {}

// Inputs are the figures that a decision was based on.
type Inputs struct {
	// Delay is the queueing delay: the least one of the turns that began within the last
	// second. Bearable is the delay from which on the upstreams count as overloaded.
	Delay, Bearable time.Duration
	// Stretch is the expected duration of a turn relative to its duration on idle upstreams.
	Stretch float64
	// Occupancy is the number of requests in flight relative to the slots of the upstreams.
	Occupancy float64
	// Overloaded is true while first turns may be refused, and Changed if that has changed since
	// the last decision for the service.
	Overloaded, Changed bool
	// Share is the part of the route's first turns that is admitted, from 0 to 1.
	Share float64
}
