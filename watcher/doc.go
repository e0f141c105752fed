// Package watcher follows the operator's configuration and the service-discovery list
// of upstreams, both of which are keyed logs in the platform's store. An older
// configuration or upstream record never replaces a newer version that this host has
// already read.
package watcher
