// Package committer appends records to a log stream in groups. A record counts
// as committed once the local replica of the stream has read it back. An append
// whose reply is lost is therefore settled by reading the stream: the committer
// never assumes an outcome.
package committer
