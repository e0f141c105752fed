// Package limiter decides which calls may wait for an upstream and whether an
// upstream is given calls at all. Calls are refused early rather than late,
// and new programs before the next call of a running one.
package limiter
