// Package scheduler orders the calls that wait for one upstream: by rank, with
// a floor for ordinary work; within a rank fairly between organisations; and
// within an organisation by the service that a program has already had.
package scheduler
