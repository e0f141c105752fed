// Package router chooses the upstream for a call: the one with the lowest sum
// of expected wait, prefill of what it does not hold in cache, and distance.
package router
