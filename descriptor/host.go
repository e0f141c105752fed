package descriptor

// Host is one entry host of the system.
type Host struct {
	// ID is unique among the hosts that the platform lists.
	ID string `json:"id"`
	// Caller is the address, host:port, that callers connect to.
	Caller string `json:"caller"`
	// Peer is the address, host:port, that other hosts connect to.
	Peer string `json:"peer"`
	// DataCentre names where the host stands.
	DataCentre string `json:"datacentre"`
	// Leaving says that the host takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// WithLeaving returns the host with its leaving state set.
func (h Host) WithLeaving(leaving bool) Host {
	h.Leaving = leaving
	return h
}
