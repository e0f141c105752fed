// Package forwarder takes one request of a caller to an upstream and the answer
// back: it chooses the route and the upstream, reserves budget and joins
// history where the request is a turn, decides what may be sent again, and
// ends each request with exactly one typed outcome.
package forwarder
