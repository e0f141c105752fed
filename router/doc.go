// Package router chooses the upstream for a call. It estimates the delay on each
// candidate as the sum of the expected wait, the prefill time of prompt tokens
// that the upstream does not have in its cache, and the network distance, and
// takes the candidate with the lowest sum.
package router
