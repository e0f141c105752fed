// Package validator checks that a response keeps to the grammar of HTTP/1.1 (RFC 9112) and that
// its connection ended in order, where net/http is more lenient. A response that fails a check
// is no answer to the request: it is lost, and its connection is not used again.
package validator
