// Package dispatcher runs calls on the upstreams that this host owns.
//
// Rendezvous hashing assigns each upstream to one host, its home. The home holds
// the upstream's queue, slots, load estimate and circuit breaker, and stops
// admitting calls once the upstream is leaving. While hosts disagree on the
// membership, two hosts may consider themselves home of the same upstream. The
// upstream may then be overloaded or its slots shared unfairly, but no guarantee is
// broken.
package dispatcher
