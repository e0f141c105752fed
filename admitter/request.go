package admitter

import "time"

// Load is the load of the usable upstreams of a service, as a host knows it.
type Load struct {
	// InFlight is the number of requests of all hosts, and Slots the number of requests that
	// the upstreams can run at the same time.
	InFlight, Slots int
	// Overdue is the number of turns of this host that have waited longer than Bearable for
	// their first event.
	Overdue int
}

// occupancy returns the requests in flight relative to the slots.
func (l Load) occupancy() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.InFlight) / float64(l.Slots)
}

// Request is a turn whose admission is decided.
type Request struct {
	// ID is unique to the attempt.
	ID             string
	Program        string
	Service, Route string
	// Begun is true if the program is known to be under way.
	Begun bool
	// TargetLeft is the time left until the program should be finished; 0 if it is not known.
	TargetLeft time.Duration
}

// Turn is a turn that has ended.
type Turn struct {
	Service, Route string
	// Took is the time from sending the turn to its end, and Interval the mean time between its
	// events; 0 if it is not known.
	Took, Interval time.Duration
	// Idle is true if the upstream had free slots when the turn was sent.
	Idle bool
}
