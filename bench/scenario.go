package main

import (
	"time"

	"github.com/citronpier/citronpier/examples"
)

// scenario describes a load on the system. Rates are in programs per second.
type scenario struct {
	name string
	// ordinary and urgent are the arrival rates of the ordinary and the urgent
	// programs of the organisation deepam; other is the arrival rate of the
	// ordinary programs of the organisation baromedr.
	ordinary, urgent, other float64
	// A flood is an increase of one arrival rate of deepam in the middle half of
	// the run: of the urgent rate if floodUrgent is true, otherwise of the
	// ordinary rate. flood is the factor by which that rate is multiplied; 0
	// means that the scenario has no flood.
	flood       float64
	floodUrgent bool
	// outage names the component that fails halfway through the run: "host",
	// "engine" or "log". If it is empty, no component fails.
	outage string
}

// saturationRate is the rate of programs that keeps every slot busy: the engines
// have 24 slots, and a program occupies a slot for 4 calls of 0.24 s on average
// when its prompt is cached.
const saturationRate = 25.0

var scenarios = []scenario{
	{name: "steady60", ordinary: 0.4 * saturationRate, urgent: 0.1 * saturationRate, other: 0.1 * saturationRate},
	{name: "steady90", ordinary: 0.6 * saturationRate, urgent: 0.15 * saturationRate, other: 0.15 * saturationRate},
	{name: "flood-ordinary", ordinary: 0.35 * saturationRate, urgent: 0.15 * saturationRate, other: 0.1 * saturationRate, flood: 5},
	{name: "flood-urgent", ordinary: 0.25 * saturationRate, urgent: 0.3 * saturationRate, other: 0.05 * saturationRate, flood: 5, floodUrgent: true},
	{name: "host-lost", ordinary: 0.4 * saturationRate, urgent: 0.1 * saturationRate, other: 0.1 * saturationRate, outage: "host"},
	{name: "engine-lost", ordinary: 0.4 * saturationRate, urgent: 0.1 * saturationRate, other: 0.1 * saturationRate, outage: "engine"},
	{name: "log-down", ordinary: 0.4 * saturationRate, urgent: 0.1 * saturationRate, other: 0.1 * saturationRate, outage: "log"},
}

func scenarioNames() []string {
	list := make([]string, len(scenarios))
	for i, s := range scenarios {
		list[i] = s.name
	}
	return list
}

// rate returns the arrival rate of a source, in programs per second, including
// the increase during a flood. The parameter at is the time since the start of
// the run, and length is the length of the run.
func (s scenario) rate(src source, at, length time.Duration) float64 {
	flooding := at > length/4 && at < length*3/4
	if s.flood > 0 && src.floods(s.floodUrgent) && flooding {
		return src.baseRate * s.flood
	}
	return src.baseRate
}

// floods reports whether the arrival rate of a source increases during a flood:
// the source must belong to deepam, and must be urgent if the flood is of urgent
// programs and ordinary otherwise.
func (src source) floods(urgent bool) bool {
	return src.key == examples.DeepamKey && src.urgent == urgent
}
