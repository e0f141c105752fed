// Package validator checks that a response keeps to the grammar of HTTP/1.1 (RFC 9112), where
// net/http is more lenient. A response that does not is no answer to the request: it is lost,
// and nothing more can be read from its connection.
package validator
