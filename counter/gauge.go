package counter

import "expvar"

// Gauge adds a value to the metrics, which is read whenever the metrics are written. It must be
// called before the first Write.
func (s *Set) Gauge(name string, read func() expvar.Var) {
	if s.gauges == nil {
		s.gauges = make(map[string]func() expvar.Var)
	}
	s.gauges[name] = read
}
