// Package isolator finds model requests that crash the upstreams that run them.
// After its first crash, a request is a suspect and should run apart from other
// suspects; after its second crash, it is refused.
package isolator
