package forwarder

import (
	"math"
	"time"
)

const (
	// healthHalf is the time in which what is known of an upstream's health
	// loses half of its weight, so that one that has recovered is tried again.
	healthHalf = 2 * time.Second
	// doubt is the weight, in results, of the assumption that an upstream is well.
	doubt = 2
	// loss is what a failed request costs its caller, in time: a program repeats
	// a turn, and ends with a call of a service that failed.
	loss = 2 * time.Second
	// harmless is the share of failed requests below which all upstreams count as
	// equal.
	harmless = 0.03
	// tolerated is how many times longer than elsewhere requests may take before
	// an upstream counts as slow.
	tolerated = 1.5
)

// health is what a host knows of an upstream from how its own requests ended
// there. The zero value knows nothing.
type health struct {
	// failed and ended are numbers of results, older ones counting for less;
	// failed is at most ended.
	failed, ended float64
	// stretch and timed are the sum and the number of times that requests took,
	// as multiples of the service's usual time.
	stretch, timed float64
	// at is when the sums were true.
	at time.Time
}

// aged returns what is left of h at a later time.
func (h health) aged(now time.Time) health {
	if age := now.Sub(h.at); age > 0 {
		left := math.Exp2(-float64(age) / float64(healthHalf))
		h.failed *= left
		h.ended *= left
		h.stretch *= left
		h.timed *= left
	}
	h.at = now
	return h
}

// WithResult returns h with one more result, of which a part failed.
func (h health) WithResult(failed float64, now time.Time) health {
	h = h.aged(now)
	h.ended++
	h.failed += failed
	return h
}

// WithTime returns h with one more time, as a multiple of the usual one, that
// counts as a part of a result.
func (h health) WithTime(stretch, part float64, now time.Time) health {
	h = h.aged(now)
	h.stretch += stretch * part
	h.timed += part
	return h
}

// WithOthers returns h with what other hosts found. The word of each counts as
// much as one result.
func (h health) WithOthers(l Load, now time.Time) health {
	h = h.aged(now)
	h.failed += l.Failing
	h.ended += float64(l.Found)
	h.stretch += l.Stretch
	h.timed += float64(l.Timed)
	return h
}

// failing returns the share of requests that are expected to fail. Requests that
// are overdue count as failed.
func (h health) failing(overdue int, now time.Time) float64 {
	h = h.aged(now)
	late := float64(overdue)
	return (h.failed + late) / (h.ended + late + doubt)
}

// slower returns how many times the usual time a request is expected to take.
func (h health) slower(now time.Time) float64 {
	h = h.aged(now)
	return (h.stretch + doubt) / (h.timed + doubt)
}

// cost returns the time that a request is expected to lose by the upstream's
// health, where one usually takes the given time.
func (h health) cost(overdue int, usual time.Duration, now time.Time) time.Duration {
	failing := max(0, h.failing(overdue, now)-harmless)
	slow := max(0, h.slower(now)-tolerated)
	return time.Duration(failing*float64(loss) + slow*float64(usual))
}
