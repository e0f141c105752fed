package forwarder

// Load is the sum of the reports of one or more hosts about an upstream.
type Load struct {
	// Running is the number of requests that the hosts have in flight there.
	Running int
	// Failing is the sum of the failure rates, each from 0 to 1, that hosts report,
	// and Found is the number of hosts that report one.
	Failing float64
	Found   int
	// Stretch is the sum of the slowdowns that hosts report, and Timed is the number
	// of hosts that report one. A slowdown is the time of a request relative to the
	// usual one: 2 is twice as long.
	Stretch float64
	Timed   int
}

// WithHost returns l with the report of one more host: its number of requests in
// flight, its failure rate and its slowdown. A rate or slowdown of 0 means that the
// host reports none.
func (l Load) WithHost(inFlight int, failureRate, slowdown float64) Load {
	l.Running += inFlight
	if failureRate > 0 {
		l.Failing += failureRate
		l.Found++
	}
	if slowdown > 0 {
		l.Stretch += slowdown
		l.Timed++
	}
	return l
}

// With returns the sum of the reports in l and other.
func (l Load) With(other Load) Load {
	l.Running += other.Running
	l.Failing += other.Failing
	l.Found += other.Found
	l.Stretch += other.Stretch
	l.Timed += other.Timed
	return l
}

// MeanFailing returns the mean failure rate over the hosts that report one, or 0
// where none does.
func (l Load) MeanFailing() float64 { return l.Failing / float64(max(1, l.Found)) }

// MeanStretch returns the mean slowdown over the hosts that report one, or 0 where
// none does.
func (l Load) MeanStretch() float64 { return l.Stretch / float64(max(1, l.Timed)) }
