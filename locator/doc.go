// Package locator finds the home of a program, a key or an upstream: the host that
// owns it by rendezvous hashing. The hosts come from the service-discovery list; a
// host is avoided for a while after a call to it failed. Two hosts may disagree about
// a home for a while; no guarantee depends on their agreement.
package locator
