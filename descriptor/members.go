package descriptor

// Members is the platform's list of hosts and upstreams. The list lags.
type Members struct {
	Hosts     []Host     `json:"hosts"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream returns the upstream with the given id.
func (m Members) Upstream(id string) (Upstream, bool) {
	for _, u := range m.Upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return Upstream{}, false
}

// Host returns the host with the given id.
func (m Members) Host(id string) (Host, bool) {
	for _, h := range m.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}
