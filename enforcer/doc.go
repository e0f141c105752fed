// Package enforcer keeps callers' connections within the limits of the operator's
// configuration: the time for a header and the time that a connection may be idle.
package enforcer
