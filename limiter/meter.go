package limiter

import (
	"math"
	"time"
)

// meterTime is the time over which a Meter averages.
const meterTime = 2 * time.Second

// Meter measures how many requests a second arrive, as a mean in which older requests count
// exponentially less. It is immutable, and the zero value has counted none.
type Meter struct {
	perSecond float64
	updatedAt time.Time
}

// Rate returns the number of requests a second at now.
func (m Meter) Rate(now time.Time) float64 {
	return m.perSecond * math.Exp(-now.Sub(m.updatedAt).Seconds()/meterTime.Seconds())
}

// WithRequest returns the meter after a request has arrived.
func (m Meter) WithRequest(now time.Time) Meter {
	return Meter{perSecond: m.Rate(now) + 1/meterTime.Seconds(), updatedAt: now}
}
