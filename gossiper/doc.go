// Package gossiper tracks which hosts of the system are live, in the manner of SWIM
// (Das, Gupta and Motivala 2002). Each host pings one other host in each probe
// interval, so that its messages do not grow with the number of hosts. A host that
// does not answer is pinged through other hosts, then suspected, and declared dead
// only if it does not refute the suspicion in time. Changes spread from host to host
// as news. A host that runs late trusts its own probes less, as Lifeguard does
// (Dadgar, Phillips and Currey 2018).
//
// Hosts also report the requests that they have in flight at upstreams, to the hosts
// of their own data centre.
//
// Datagrams may be lost, late or reordered: they let hosts react quickly, but no
// guarantee of the system depends on them.
package gossiper
