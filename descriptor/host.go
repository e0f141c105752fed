package descriptor

// Host is one host of this system. Hosts accept requests from callers.
type Host struct {
	// ID is unique among the hosts in the service-discovery list.
	ID string `json:"id"`
	// Caller is the address, host:port, that callers connect to.
	Caller string `json:"caller"`
	// Peer is the address, host:port, that other hosts connect to.
	Peer string `json:"peer"`
	// DataCentre is the name of the data centre that the host is in.
	DataCentre string `json:"datacentre"`
	// Leaving is true while the host is stopping. It takes no new work then.
	Leaving bool `json:"leaving,omitempty"`
}

// WithLeaving returns a copy of the host with Leaving set.
func (h Host) WithLeaving(leaving bool) Host {
	h.Leaving = leaving
	return h
}
