// Package gossiper tells the hosts of the system of each other: who lives, who
// leaves, which configuration they have and how busy upstreams are. Heartbeats
// go by UDP from each host to each other one. What they say makes the system
// quick; no promise depends on it.
package gossiper
