// Package exchanger sends one HTTP/1.1 request to one upstream over a pooled
// connection. A request is written once: whether it is sent again, and where,
// is for the caller to decide by the typed failure. The connections are the
// package's own, since the transport of net/http repeats requests by itself.
package exchanger
