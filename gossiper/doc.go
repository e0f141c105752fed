// Package gossiper tracks the membership of the system. Each host sends heartbeats
// over UDP to every other host that it knows. A heartbeat says that its sender is
// live, whether it is leaving, which version of the configuration it has, how
// many requests it has in flight at upstreams, and the addresses of some other
// hosts. Heartbeats may be lost, late or reordered: they let hosts react quickly,
// but no guarantee of the system depends on them.
package gossiper
