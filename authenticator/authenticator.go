package authenticator

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// Verdict is the result of an authentication: Accepted, Unknown or Stale.
type Verdict interface{ verdict() }

// Accepted means that the request may be served. Organisation is the zero value if the request
// needs no key.
type Accepted struct{ Organisation descriptor.Organisation }

// Unknown means that the request has no key, or one that the configuration does not list.
type Unknown struct{}

// Stale means that the configuration is too old to decide.
type Stale struct{ Age time.Duration }

func (Accepted) verdict() {}
func (Unknown) verdict()  {}
func (Stale) verdict()    {}

// Policy bounds the age of the configuration, which is the time since the host last knew that
// the store has no newer one.
type Policy struct {
	// Revocation is the age up to which keys are accepted: within it a revoked key must stop
	// working. 0 means that revocation has no bound.
	Revocation time.Duration
	// Unknown is the age up to which an unknown key is rejected. Beyond, the key may have been
	// added since. 0 means that unknown keys are always rejected.
	Unknown time.Duration
}

// Authenticate returns which organisation sends a request with the given key on a route. age is
// the age of the configuration.
func (p Policy) Authenticate(c descriptor.Configuration, r descriptor.Route, key descriptor.KeyDigest, age time.Duration) Verdict {
	if !c.Organisations.Required() || r.Open {
		return Accepted{}
	}
	if p.Revocation > 0 && age > p.Revocation {
		return Stale{Age: age}
	}
	organisation, known := c.Organisations.Holder(key)
	switch {
	case known:
		return Accepted{Organisation: organisation}
	case p.Unknown > 0 && age > p.Unknown && key != (descriptor.KeyDigest{}):
		return Stale{Age: age}
	default:
		return Unknown{}
	}
}
