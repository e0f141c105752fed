package scheduler

// Discipline is the order in which a queue serves its calls: Fair or FirstCome.
type Discipline interface{ discipline() }

// Fair serves urgent calls first but guarantees ordinary calls their floor, a
// minimum share of the service. Within a rank it shares between organisations by
// weight, and within an organisation it serves the program with the least attained
// service first. Fair is the default.
type Fair struct{}

// FirstCome serves in the order of arrival. It is a baseline for comparisons.
type FirstCome struct{}

func (Fair) discipline()      {}
func (FirstCome) discipline() {}
