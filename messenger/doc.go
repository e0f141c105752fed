// Package messenger carries messages between the system's hosts: twirp for
// commands and queries, and streams of length-delimited protobuf frames over
// HTTP/2 for calls.
package messenger
