package descriptor

import "slices"

// Upstream is one back end: a model engine or a plain service.
type Upstream struct {
	// ID is unique among the upstreams that the platform lists.
	ID string `json:"id"`
	// Address is the upstream's host:port.
	Address string `json:"address"`
	// DataCentre names where the upstream stands.
	DataCentre string `json:"datacentre"`
	// Models lists the models that a model engine has loaded.
	Models []string `json:"models,omitempty"`
	// Service is the name of the plain service that the upstream serves. It is
	// empty for a model engine of the trial's list.
	Service string `json:"service,omitempty"`
	// Slots is the number of calls that the upstream runs at once.
	Slots int `json:"slots"`
	// Leaving says that the upstream takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Born tells one incarnation of the upstream from the next.
	Born int64 `json:"born,omitempty"`
	// Beat numbers what one incarnation says of itself.
	Beat int64 `json:"beat,omitempty"`
}

// Serves reports whether the upstream is a model engine with the model loaded.
func (u Upstream) Serves(model string) bool {
	return u.Service == "" && slices.Contains(u.Models, model)
}

// WithLeaving returns the upstream with its leaving state set.
func (u Upstream) WithLeaving(leaving bool) Upstream {
	u.Leaving = leaving
	return u
}
