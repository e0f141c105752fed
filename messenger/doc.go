// Package messenger carries messages between the hosts of this system. Commands and
// queries use Twirp. Calls, whose responses are streams, use length-delimited protobuf
// frames over HTTP/2. The home of a program or upstream is the host that owns it by
// rendezvous hashing.
package messenger
