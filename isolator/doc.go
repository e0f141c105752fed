// Package isolator finds requests that crash the upstreams that run them. A
// request is suspected after the first death and refused after the second.
package isolator
