// Package reporter counts what happened on a host and makes the owner's page:
// which rules held today and which did not.
package reporter
