package descriptor

import "slices"

// Upstream is one back-end server: a model engine or an instance of a plain service.
type Upstream struct {
	// ID is unique among the upstreams in the service-discovery list.
	ID string `json:"id"`
	// Address is the upstream's host:port.
	Address string `json:"address"`
	// DataCentre is the name of the data centre that the upstream is in.
	DataCentre string `json:"datacentre"`
	// Models lists the models that a model engine has loaded.
	Models []string `json:"models,omitempty"`
	// Service is the name of the service that the upstream is an instance of. It is
	// empty for a model engine that receives calls for any of its Models.
	Service string `json:"service,omitempty"`
	// Version is the version of the upstream's software. Versions have no order. A stream
	// that one version began can't be resumed at another version.
	Version string `json:"version,omitempty"`
	// Slots is the number of calls that the upstream can run at the same time.
	Slots int `json:"slots"`
	// Leaving is true while the upstream is draining. It takes no new work then.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation identifies one run of the upstream. It changes when the upstream
	// restarts.
	Incarnation int64 `json:"born,omitempty"`
	// HeartbeatSequence is the sequence number of the heartbeat that this state comes
	// from. It grows within one incarnation.
	HeartbeatSequence int64 `json:"beat,omitempty"`
}

// Serves reports whether the upstream is a model engine that has the model loaded. It is
// false for upstreams with a service name.
func (u Upstream) Serves(model string) bool {
	return u.Service == "" && slices.Contains(u.Models, model)
}

// Build returns the software that the upstream runs.
func (u Upstream) Build() Build { return Build{Service: u.Service, Version: u.Version} }

// Build identifies the software of upstreams. The zero value is no build.
type Build struct {
	// Service is the name of the service.
	Service string
	// Version is the software version of the service.
	Version string
}

// WithLeaving returns a copy of the upstream with Leaving set.
func (u Upstream) WithLeaving(leaving bool) Upstream {
	u.Leaving = leaving
	return u
}
