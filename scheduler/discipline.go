package scheduler

// Discipline is the order in which a queue serves.
type Discipline interface{ discipline() }

// Fair serves by rank, floor, organisation and attained service. It is the
// default.
type Fair struct{}

// FirstCome serves in the order of arrival. It is a baseline.
type FirstCome struct{}

func (Fair) discipline()      {}
func (FirstCome) discipline() {}
