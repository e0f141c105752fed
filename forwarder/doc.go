// Package forwarder forwards a caller's request to an upstream and relays the
// response. It chooses the route and the upstream, decides whether a failed
// request may be sent again, and ends each request with exactly one Outcome.
//
// A turn is a streamed request that belongs to a program. Before a turn is
// forwarded, the package reserves token budget for it at the program's home and
// prepends the text of the turns that it continues (its chain). The home of a
// program is the host that owns the program's shard by rendezvous hashing.
package forwarder
