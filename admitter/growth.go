package admitter

const (
	// growthMemory is the number of turns after which a turn has lost most of its weight.
	growthMemory = 64
	// initialGrowth is the growth that is assumed before anything was measured, and
	// initialGrowthWeight its weight, as a number of turns on upstreams with all slots in use.
	initialGrowth       = 0.5
	initialGrowthWeight = 1
)

// growth estimates how much longer a turn takes on upstreams with all slots in use than on
// idle ones (least squares through the origin). The zero value has no measurement.
type growth struct{ product, square float64 }

// With returns g with one more turn, which was stretched at an occupancy.
func (g growth) With(occupancy, stretch float64) growth {
	const kept = 1 - 1.0/growthMemory
	occupancy = min(1, occupancy)
	g.product = g.product*kept + occupancy*max(0, stretch-1)
	g.square = g.square*kept + occupancy*occupancy
	return g
}

// Stretch returns the expected stretch of a turn at an occupancy.
func (g growth) Stretch(occupancy float64) float64 {
	slope := (g.product + initialGrowth*initialGrowthWeight) / (g.square + initialGrowthWeight)
	return 1 + slope*min(1, occupancy)
}
