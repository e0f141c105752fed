package descriptor

// Members is the platform's service-discovery list of hosts and upstreams. Changes
// reach the list with a delay, so it may name members that are gone and lack new ones.
type Members struct {
	Hosts     []Host     `json:"hosts"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream returns the upstream with the given ID, if it is listed.
func (m Members) Upstream(id string) (Upstream, bool) {
	for _, u := range m.Upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return Upstream{}, false
}

// Host returns the host with the given ID, if it is listed.
func (m Members) Host(id string) (Host, bool) {
	for _, h := range m.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}
