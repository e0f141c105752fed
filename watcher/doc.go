// Package watcher follows the operator's configuration and the service-discovery list
// of upstreams. Both are keyed logs in the platform's store: a record replaces all
// earlier records with the same key. An older configuration or upstream record never
// replaces a newer version that this host has already read.
package watcher
