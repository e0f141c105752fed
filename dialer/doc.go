// Package dialer implements the interfaces of package connector over HTTP: for the
// platform's log and service-discovery list, model engines, plain services, and other
// hosts.
package dialer
