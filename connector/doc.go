// Package connector defines the interfaces through which a host reaches everything
// outside of it: the platform's log, store and service-discovery list, the upstreams,
// and the other hosts. The packages dialer, messenger and platform implement them over
// the network; tests use fakes.
package connector
