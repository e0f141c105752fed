// Package dialer speaks over HTTP to the platform's log and list, to model
// engines and to plain services.
package dialer
