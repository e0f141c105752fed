// Package gossiper tracks the membership of the system. Each host sends heartbeats
// over UDP to every other host that it knows. A heartbeat shows that its sender is
// live. It reports whether the sender is leaving, which version of the configuration
// the sender has, how many requests the sender has in flight at upstreams, and the
// addresses of some other hosts. Heartbeats may be lost, late or reordered: they let
// hosts react quickly, but no guarantee of the system depends on them.
package gossiper
