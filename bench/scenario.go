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
	// flood is the factor by which one rate of deepam is multiplied in the
	// middle half of the run: the urgent rate if floodUrgent is set, otherwise
	// the ordinary rate. 0 means no flood.
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

// rate returns the arrival rate of a source, in programs per second, at the
// time at after the start of a run of the given length.
func (s scenario) rate(src source, at, length time.Duration) float64 {
	flooding := at > length/4 && at < length*3/4
	if s.flood > 0 && src.floods(s.floodUrgent) && flooding {
		return src.baseRate * s.flood
	}
	return src.baseRate
}

// floods reports whether the flood applies to a source: the source must belong
// to deepam and have the flooded rank, urgent or ordinary.
func (src source) floods(urgent bool) bool {
	return src.key == examples.DeepamKey && src.urgent == urgent
}
