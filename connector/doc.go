// Package connector defines the narrow interfaces to everything outside a
// host: the platform's log and list, the upstreams, and the other hosts. Tests
// put small fakes behind them; package dialer and package messenger hold the
// implementations over the network.
package connector
