// Package descriptor defines the data types that the other packages share: the
// configuration, hosts, upstreams, requests, ranks and whether a call ran. It depends on
// none of those packages.
package descriptor
