// Package enforcer applies the operator's time limits to callers' connections: how
// long a caller may take to send a request header, and how long a connection may
// stay idle. Unlike the timeouts of net/http, the limits may change while the
// server runs.
package enforcer
