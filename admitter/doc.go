// Package admitter decides whether the first turn of a program may run while the upstreams are
// overloaded. It keeps what one incarnation of a host measures. The code reads no clock and
// starts no goroutine: the present time and the load of the upstreams are arguments.
package admitter
