package admitter

import "time"

const (
	// routeMemory is the number of turns after which an observation has lost most of its weight.
	routeMemory = 512
	// turnDivisor sets the weight of one turn in the mean time of a turn.
	turnDivisor = 16
)

// route is what the host has learned of the programs of a route.
type route struct {
	// first and turns count first turns and all turns; older ones count less.
	first, turns float64
	// turn is the mean time of a turn.
	turn time.Duration
	// admitted is when a first turn was last admitted, since the start of the host.
	admitted time.Duration
}

// observe counts a turn that was admitted.
func (r *route) observe(first bool, at time.Duration) {
	const kept = 1 - 1.0/routeMemory
	r.first *= kept
	r.turns = r.turns*kept + 1
	if first {
		r.first++
		r.admitted = at
	}
}

// observeEnd adds the time of a turn.
func (r *route) observeEnd(took time.Duration) {
	if r.turn == 0 {
		r.turn = took
	}
	r.turn += (took - r.turn) / turnDivisor
}

// programTime returns the expected time of the turns of a program.
func (r *route) programTime() time.Duration {
	if r.first <= 0 {
		return r.turn
	}
	return time.Duration(max(1, r.turns/r.first) * float64(r.turn))
}
