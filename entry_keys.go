package citronpier

import (
	"time"

	"github.com/citronpier/citronpier/authenticator"
)

const (
	// revocationMargin is how long before the bound of a revocation a host stops accepting
	// keys. The bound holds for the time at which the caller sends the request, and each
	// request is checked again before it is sent on.
	revocationMargin = 50 * time.Millisecond
	// unknownKeyAge is the age of the configuration up to which an unknown key is rejected for
	// good. It is above the age that the configuration reaches while the store answers.
	unknownKeyAge = 3 * time.Second
)

// authenticationPolicy returns the policy for a bound of revocations; 0 is none.
func authenticationPolicy(revocation time.Duration) authenticator.Policy {
	p := authenticator.Policy{Unknown: unknownKeyAge}
	if revocation > 0 {
		p.Revocation = max(revocation-revocationMargin, revocation/2)
	}
	return p
}
