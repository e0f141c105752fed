// Package watcher follows the operator's configuration and the list of
// upstreams in the platform's store. What is older than what a host has seen
// never replaces it.
package watcher
