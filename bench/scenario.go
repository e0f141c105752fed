package main

import (
	"time"

	"github.com/citronpier/citronpier/examples"
)

// scenario is a load on the system. Rates are programs a second.
type scenario struct {
	name string
	// ordinary and urgent are the rates of the first organisation, and
	// other is the ordinary rate of the second.
	ordinary, urgent, other float64
	// flood multiplies a rate of the first organisation in the middle half of
	// the run.
	flood       float64
	floodUrgent bool
	// lose names what is taken away half way.
	lose string
}

// full is the rate of programs that keeps every slot busy. It follows from the
// engines' slots (24), the mean calls of a program (4), and the mean time of a
// call with its prompt in cache (0.24 s).
const full = 25.0

var scenarios = []scenario{
	{name: "steady60", ordinary: 0.4 * full, urgent: 0.1 * full, other: 0.1 * full},
	{name: "steady90", ordinary: 0.6 * full, urgent: 0.15 * full, other: 0.15 * full},
	{name: "flood-ordinary", ordinary: 0.35 * full, urgent: 0.15 * full, other: 0.1 * full, flood: 5},
	{name: "flood-urgent", ordinary: 0.25 * full, urgent: 0.3 * full, other: 0.05 * full, flood: 5, floodUrgent: true},
	{name: "host-lost", ordinary: 0.4 * full, urgent: 0.1 * full, other: 0.1 * full, lose: "host"},
	{name: "engine-lost", ordinary: 0.4 * full, urgent: 0.1 * full, other: 0.1 * full, lose: "engine"},
	{name: "log-down", ordinary: 0.4 * full, urgent: 0.1 * full, other: 0.1 * full, lose: "log"},
}

func names() []string {
	list := make([]string, len(scenarios))
	for i, s := range scenarios {
		list[i] = s.name
	}
	return list
}

// rate returns the arrival rate of a source at a time.
func (s scenario) rate(src source, at, length time.Duration) float64 {
	flooding := at > length/4 && at < length*3/4
	if s.flood > 0 && src.floods(s.floodUrgent) && flooding {
		return src.base * s.flood
	}
	return src.base
}

// floods reports whether a source is the one that floods.
func (src source) floods(urgent bool) bool {
	return src.key == examples.DeepamKey && src.urgent == urgent
}
