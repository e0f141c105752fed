package descriptor

import (
	"strings"
	"time"
)

// Configuration is one version of what the operator wants.
type Configuration struct {
	// Version grows with each change, in uneven steps. 0 is none.
	Version int64
	Routes  []Route
	// Services has the properties of each service by its name.
	Services map[string]Service
	Limits   Limits
}

// Route says how the requests under one host and path are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is how long a caller is kept waiting at most.
	Timeout time.Duration
	// Rank is the importance; 0 is the highest.
	Rank int
	// Split lists the services that take the route's requests.
	Split []Share
	// Attempts is the most upstreams that may run one request. Attempts >= 1.
	Attempts int
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares. Weight >= 0.
	Weight float64
}

// Kind says what may be repeated of a route's requests.
type Kind interface{ kind() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// Once requests run at most once for each attempt of the caller.
type Once struct{}

// Stream requests are answered by a series of events.
type Stream struct {
	// Resumable says that another upstream may go on after an event.
	Resumable bool
	// Retain says that the system keeps the turns: a request carries only what
	// is new.
	Retain bool
	// Retention is how long a turn and its program's account are kept.
	Retention time.Duration
}

func (Idempotent) kind() {}
func (Once) kind()       {}
func (Stream) kind()     {}

// Service is what is configured of a service's upstreams.
type Service struct {
	Name string
	// Connections is the most that one upstream accepts from all hosts.
	Connections int
	// TokensPerEvent is what one event of a stream counts; 0 for a plain service.
	TokensPerEvent int64
}

// Limits bound what a caller may send.
type Limits struct {
	// Body is the largest body in bytes, and Header the largest header.
	Body   int64
	Header int64
	// HeaderTime is how long a header may take, and Idle how long a connection may
	// be without a request.
	HeaderTime time.Duration
	Idle       time.Duration
}

// Route returns the route of a host and path: the one with the longest prefix.
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

// Service returns the service that takes a request, by a number from 0 to 1
// that is spread evenly over requests. It is empty where no share has weight.
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
