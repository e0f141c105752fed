package forwarder

import (
	"time"

	"github.com/citronpier/citronpier/authenticator"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// retryAfterStale is the delay after which a caller should retry at a host whose
	// configuration is too old to accept keys. The host may reach the store again by then, and
	// the caller may find another host.
	retryAfterStale = 300 * time.Millisecond
	// idSeparator joins the name of an organisation with an id. Neither contains control
	// characters, so that no organisation can name the ids of another one.
	idSeparator = "\x1f"
)

// authenticate finds the organisation that sends the request. It returns the outcome of a
// request whose key is not accepted, and nil otherwise.
func (e *exchange) authenticate(c descriptor.Configuration) Outcome {
	e.authenticated = c.Organisations.Required()
	if !e.authenticated {
		return nil
	}
	switch v := e.config.Authentication.Authenticate(c, e.route, e.request.Key, e.config.configurationAge()).(type) {
	case authenticator.Accepted:
		e.organisation = v.Organisation
		return nil
	case authenticator.Stale:
		return refused(refuser.New(refuser.Stale, "the configuration was last confirmed %s ago, which is too long to accept keys", v.Age.Round(time.Millisecond)).
			WithRetry(retryAfterStale))
	default:
		return refused(refuser.New(refuser.Key, "the key is missing or unknown"))
	}
}

// revoked returns the outcome of a request whose key has been revoked since the request was
// accepted, or whose host has become unable to show that it was not. It returns nil while the
// key is accepted.
func (e *exchange) revoked() Outcome {
	if !e.authenticated || e.organisation.Name == "" {
		return nil
	}
	c := e.config.Configuration()
	v, ok := e.config.Authentication.Authenticate(c, e.route, e.request.Key, e.config.configurationAge()).(authenticator.Accepted)
	if ok && (v.Organisation.Name == e.organisation.Name || v.Organisation.Name == "") {
		return nil
	}
	if e.mayHaveRun {
		return refused(refuser.New(refuser.Lost, "the answer was lost, and the key is not accepted any more").WithRun(descriptor.RunUnknown))
	}
	if ok {
		return refused(refuser.New(refuser.Key, "the key belongs to another organisation now"))
	}
	return e.authenticate(c)
}

// configurationAge returns the age of the configuration, or 0 if it is not followed.
func (c Config) configurationAge() time.Duration {
	if c.ConfigurationAge == nil {
		return 0
	}
	return c.ConfigurationAge()
}

// urgency returns the priority of the request.
func (e *exchange) urgency() int {
	if e.organisation.Urgency != nil {
		return *e.organisation.Urgency
	}
	return e.route.Urgency
}

// scoped returns an id as the homes of programs know it. The ids of an organisation's turns
// and programs are apart from those of all others.
func (e *exchange) scoped(id string) string {
	if id == "" || e.organisation.Name == "" {
		return id
	}
	return e.organisation.Name + idSeparator + id
}
