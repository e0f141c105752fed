// Package watcher follows the operator's configuration and the service-discovery
// list of upstreams, both of which are keyed logs in the platform's store. An
// older version never replaces a newer one that this host has already read.
package watcher
