// Package authenticator decides which organisation sends a request, from the request's key and
// the configuration in force. A host that can't show that its configuration is recent enough
// accepts no key: the key may have been revoked since.
package authenticator
