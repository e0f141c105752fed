package forwarder

// Load is what a host, or several together, say of an upstream.
type Load struct {
	// Running is the requests under way.
	Running int
	// Failing is the share of requests that fail, summed over the hosts that
	// found any, and Found is the number of these hosts.
	Failing float64
	Found   int
	// Stretch is how many times longer than usual requests take, summed over the
	// hosts that found more than is tolerated, and Timed is the number of these.
	Stretch float64
	Timed   int
}

// WithHost returns l with what one more host says; a share or a stretch of 0 is
// not said.
func (l Load) WithHost(running int, failing, stretch float64) Load {
	l.Running += running
	if failing > 0 {
		l.Failing += failing
		l.Found++
	}
	if stretch > 0 {
		l.Stretch += stretch
		l.Timed++
	}
	return l
}

// With returns what two say together.
func (l Load) With(other Load) Load {
	l.Running += other.Running
	l.Failing += other.Failing
	l.Found += other.Found
	l.Stretch += other.Stretch
	l.Timed += other.Timed
	return l
}

// MeanFailing returns the mean share of requests that fail at hosts that found
// any; 0 where none did.
func (l Load) MeanFailing() float64 { return l.Failing / float64(max(1, l.Found)) }

// MeanStretch returns how many times longer than usual requests take at hosts that
// found more than is tolerated; 0 where none did.
func (l Load) MeanStretch() float64 { return l.Stretch / float64(max(1, l.Timed)) }
