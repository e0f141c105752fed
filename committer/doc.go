// Package committer writes records to the log in groups. A record counts as
// committed when the replica of the stream has read it back, so that an append
// whose answer was lost is resolved by reading and never by assuming.
package committer
