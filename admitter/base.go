package admitter

import "time"

const (
	// fallDivisor and riseDivisor set the weight of a measurement below and above a base. A
	// base must not follow a long overload, in which all upstreams are loaded.
	fallDivisor = 16
	riseDivisor = 256
	// meanDivisor sets the weight of a measurement in the mean time of a turn.
	meanDivisor = 64
)

// base follows the low end of durations that are measured on upstreams with free slots. The
// zero value has no measurement.
type base struct {
	value time.Duration
	known bool
}

// With returns b with one more measurement.
func (b base) With(d time.Duration) base {
	switch {
	case !b.known:
		return base{value: d, known: true}
	case d < b.value:
		b.value += (d - b.value) / fallDivisor
	default:
		b.value += (d - b.value) / riseDivisor
	}
	return b
}

// WithMean returns b with one more measurement, as a mean of them.
func (b base) WithMean(d time.Duration) base {
	if !b.known {
		return base{value: d, known: true}
	}
	b.value += (d - b.value) / meanDivisor
	return b
}
