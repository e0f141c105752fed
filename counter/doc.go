// Package counter holds the metrics of one host as expvar values. The values are
// fields of a Set and not published globally, so that several hosts can run in one
// process with separate metrics.
package counter
