// Package counter holds the metrics of one host. They are expvar values, so
// that several hosts in one process keep theirs apart.
package counter
