// Package descriptor defines the data types that the other packages share: the
// configuration, hosts, upstreams, requests, ranks and whether a call ran. It depends on
// none of those packages. A program is a group of calls under one ID that share a token
// budget; a turn is one request of a program to a model and the response.
package descriptor
