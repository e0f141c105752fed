package forwarder

// UpstreamLoad is the sum of the reports of one or more hosts about an upstream.
type UpstreamLoad struct {
	// InFlight is the number of requests that the hosts have in flight at the
	// upstream.
	InFlight int
	// FailureRateSum is the sum of the failure rates, each from 0 to 1, that hosts
	// report, and FailureReports is the number of hosts that report a failure rate.
	FailureRateSum float64
	FailureReports int
	// SlowdownSum is the sum of the slowdowns that hosts report, and SlowdownReports
	// is the number of hosts that report a slowdown. A slowdown is the duration of a
	// request relative to the service's average: 2 means twice as long.
	SlowdownSum     float64
	SlowdownReports int
}

// WithHost returns l with the report of one more host: its number of requests in
// flight, its failure rate and its slowdown. If failureRate or slowdown is 0, the
// host does not report this value.
func (l UpstreamLoad) WithHost(inFlight int, failureRate, slowdown float64) UpstreamLoad {
	l.InFlight += inFlight
	if failureRate > 0 {
		l.FailureRateSum += failureRate
		l.FailureReports++
	}
	if slowdown > 0 {
		l.SlowdownSum += slowdown
		l.SlowdownReports++
	}
	return l
}

// With returns the sum of the reports in l and other.
func (l UpstreamLoad) With(other UpstreamLoad) UpstreamLoad {
	l.InFlight += other.InFlight
	l.FailureRateSum += other.FailureRateSum
	l.FailureReports += other.FailureReports
	l.SlowdownSum += other.SlowdownSum
	l.SlowdownReports += other.SlowdownReports
	return l
}

// MeanFailureRate returns the mean of the failure rates that hosts report, or 0 if no
// host reports a failure rate.
func (l UpstreamLoad) MeanFailureRate() float64 {
	return l.FailureRateSum / float64(max(1, l.FailureReports))
}

// MeanSlowdown returns the mean of the slowdowns that hosts report, or 0 if no host
// reports a slowdown.
func (l UpstreamLoad) MeanSlowdown() float64 {
	return l.SlowdownSum / float64(max(1, l.SlowdownReports))
}
