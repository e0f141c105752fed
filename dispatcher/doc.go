// Package dispatcher runs calls on the upstreams that this host owns.
//
// Rendezvous hashing assigns each upstream to one host, its home. The home
// holds the upstream's queue, slots, load estimate and circuit breaker, and
// stops admitting calls once the upstream is leaving. While hosts disagree on
// the membership, two of them may act as home of the same upstream. The
// upstream may then be overloaded or poorly shared, but no guarantee is broken.
package dispatcher
