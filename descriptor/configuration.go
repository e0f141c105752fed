package descriptor

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	// Version grows with each change, not always by 1. It is 0 if there is no
	// configuration yet.
	Version int64
	Routes  []Route
	// Services is indexed by the service's name.
	Services map[string]Service
	Limits   Limits
	// Organisations are empty if requests need no key.
	Organisations Organisations
}

// Route configures how requests for one host name and path prefix are handled.
type Route struct {
	Name string
	// Host is the host name that callers use, without a port.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// Urgency is the priority of the route's requests; 0 is the highest.
	Urgency int
	// Split divides the route's requests among services.
	Split []Share
	// Open is true if requests need no key.
	Open bool
	// Attempts is the maximum number of upstreams that may run one request.
	// Attempts >= 1.
	Attempts int
}

// Share is one service's share of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares. Weight >= 0.
	Weight float64
}

// Kind is the type of a route's requests: Idempotent, Once or Stream. It determines
// whether a request may be sent to an upstream again.
type Kind interface{ kind() }

// Idempotent is the kind of requests that may run more than once.
type Idempotent struct{}

// Once is the kind of requests that run at most once for each attempt of the caller.
type Once struct{}

// Stream is the kind of requests whose response is a stream of server-sent events.
type Stream struct {
	// Resumable is true if an interrupted stream may be continued after the last
	// event that arrived, possibly by another upstream.
	Resumable bool
	// Retain is true if the system stores the turns of programs. A request that
	// continues a turn then has only the new input in its body.
	Retain bool
	// Retention is how long a turn and its program's token account are stored.
	Retention time.Duration
}

func (Idempotent) kind() {}
func (Once) kind()       {}
func (Stream) kind()     {}

// Service is the configuration that a service's upstreams share.
type Service struct {
	Name string
	// Connections is the maximum number of connections that one upstream accepts from
	// all hosts together.
	Connections int
	// TokensPerEvent is the number of generated tokens that one event of a stream
	// counts as. It is 0 for a plain service.
	TokensPerEvent int64
}

// Limits are limits on what callers may send.
type Limits struct {
	// Body and Header are the maximum sizes of a request's body and header in bytes.
	Body   int64
	Header int64
	// HeaderTime is the maximum time until a request's header has arrived. Idle is how
	// long a connection may stay open without a request.
	HeaderTime time.Duration
	Idle       time.Duration
}

// Route returns the route for a host name and path. If several routes match,
// Route returns the route with the longest prefix.
func (c Configuration) Route(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.Routes {
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if !found || len(r.Prefix) > len(best.Prefix) {
			best, found = r, true
		}
	}
	return best, found
}

// LeadsTo reports whether a part of the route's requests goes to a service.
func (r Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Service chooses the service for a request in proportion to the weights of the
// shares. The draw is a number from 0, inclusive, to 1, exclusive. The draws of
// requests are uniformly distributed. Service returns the empty string if no share
// has a weight above 0.
func (r Route) Service(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	point := draw * total
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return ""
}
