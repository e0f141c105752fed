package admitter

import "time"

const (
	// bearableDivisor sets the queueing delay that callers can bear: this part of the time of a
	// turn on idle upstreams. Callers allow 1.4 times the time of a program, and tokens take
	// longer on loaded engines too.
	bearableDivisor = 4
	// minBearable is the least bearable delay. Hosts with a part of a core delay turns by less.
	minBearable = 50 * time.Millisecond
	// minSamples is the number of turns that have to show a delay: one slow upstream is no
	// overload.
	minSamples = 4
	// onsetTime is how long turns have to be delayed or stretched until first turns are refused.
	onsetTime = 400 * time.Millisecond
	// calmTime is how long turns have to be neither delayed nor stretched until the overload is
	// over. restTime is the same for turns that are stretched up to onsetStretch, which may have
	// other causes than load.
	calmTime = 2 * time.Second
	restTime = 10 * time.Second
	// queueTurns is the number of turns that wait for one slot of an upstream with a full
	// queue: 36 for 12 slots.
	queueTurns = 3
)

// service is what the host has measured of the upstreams of a service.
type service struct {
	// delays has the queueing delays, and idleDelay the time that idle upstreams need besides
	// reading the prompt.
	delays    window
	idleDelay base
	// intervals has the mean times between the events of a turn.
	intervals    window
	idleInterval base
	idleTurn     base
	// aboveSince and belowSince are when callers began to bear more or less than they can. At
	// most one of them is above 0.
	aboveSince, belowSince time.Duration
	overloaded             bool
	// occupancy is the last known one, and growth how the turns are stretched by it.
	occupancy float64
	growth    growth
}

// bearable returns the queueing delay that callers can bear.
func (s *service) bearable() time.Duration {
	return max(minBearable, s.idleTurn.value/bearableDivisor)
}

// observeStart adds the time from sending a turn to its first event, without the time for
// reading the prompt, which may have been estimated too long.
func (s *service) observeStart(took time.Duration, idle bool, at time.Duration) {
	took = max(0, took)
	if idle || !s.idleDelay.known {
		s.idleDelay = s.idleDelay.With(took)
	}
	s.delays = s.delays.With(max(0, took-s.idleDelay.value), at)
}

// observeFull adds a turn that an upstream refused because its queue is full.
func (s *service) observeFull(at time.Duration) {
	s.delays = s.delays.With(queueTurns*max(s.idleTurn.value, minBearable), at)
}

// observeEnd adds a turn that has ended.
func (s *service) observeEnd(t Turn, at time.Duration) {
	if t.Idle || !s.idleTurn.known {
		s.idleTurn = s.idleTurn.WithMean(t.Took)
	}
	if t.Interval <= 0 {
		return
	}
	if t.Idle || !s.idleInterval.known {
		s.idleInterval = s.idleInterval.With(t.Interval)
	}
	s.intervals = s.intervals.With(t.Interval, at)
	least, _ := s.intervals.Least(at)
	s.growth = s.growth.With(s.occupancy, least.Seconds()/max(time.Nanosecond, s.idleInterval.value).Seconds())
}

// update follows whether the upstreams are overloaded, and returns the figures of the decision.
func (s *service) update(l Load, at time.Duration) Inputs {
	s.occupancy = l.occupancy()
	in := s.measure(l, at)
	before := s.overloaded
	above := in.Delay > in.Bearable && in.Occupancy > usedOccupancy || in.Stretch > onsetStretch && in.Occupancy > busyOccupancy
	switch {
	case above && s.aboveSince == 0:
		s.aboveSince, s.belowSince = at, 0
	case !above && s.belowSince == 0:
		s.aboveSince, s.belowSince = 0, at
	}
	switch {
	case above && s.idleTurn.known && at-s.aboveSince >= onsetTime:
		s.overloaded = true
	case !above && in.Stretch <= calmStretch && at-s.belowSince >= calmTime, !above && at-s.belowSince >= restTime:
		s.overloaded = false
	}
	in.Overloaded, in.Changed = s.overloaded, s.overloaded != before
	in.Share = 1
	if s.overloaded {
		in.Share = in.share()
	}
	return in
}

// measure returns the present figures.
func (s *service) measure(l Load, at time.Duration) Inputs {
	in := Inputs{Bearable: s.bearable(), Stretch: 1, Occupancy: s.occupancy}
	delay, count := s.delays.Least(at)
	waiting := l.Overdue >= minSamples
	switch {
	case waiting && count == 0:
		in.Delay = 2 * in.Bearable
	case waiting || count >= minSamples || s.overloaded:
		in.Delay = delay
	}
	in.Stretch = s.growth.Stretch(s.occupancy)
	if s.idleTurn.value > 0 {
		queued := max(in.Delay.Seconds()/s.idleTurn.value.Seconds(), in.Stretch*(in.Occupancy-1))
		in.Stretch += max(0, queued)
	}
	return in
}

const (
	// calmStretch is the stretch of a turn up to which all first turns are admitted, and
	// fullStretch the one from which on none is. Programs should take 1.4 to 1.5 times their
	// time on idle upstreams.
	calmStretch = 1.2
	fullStretch = 1.7
	// onsetStretch is the stretch above which the upstreams count as overloaded: programs miss
	// their target.
	onsetStretch = 1.5
)

// share returns the part of the first turns that the upstreams can serve. Without a queue it is
// bounded below, as the stretch is an estimate.
func (in Inputs) share() float64 {
	share := (fullStretch - in.Stretch) / (fullStretch - calmStretch)
	least := 0.0
	switch {
	case in.Delay > in.Bearable:
	case in.Occupancy < busyOccupancy:
		least = 1 - (1-minShare)*in.Occupancy/busyOccupancy
	default:
		least = minShare
	}
	return min(1, max(least, share))
}

const (
	// minShare is the part of the first turns that is admitted while upstreams have no queue,
	// however long their turns take.
	minShare = 0.1
	// busyOccupancy is the occupancy from which on stretched turns count as overload. Upstreams
	// with fewer requests are slow for another reason, which refusals don't change.
	busyOccupancy = 0.4
	// usedOccupancy is the occupancy from which on delayed turns count as overload. At lower
	// ones the delay is that of this host, which was paused or lacks processor time.
	usedOccupancy = 0.2
)
