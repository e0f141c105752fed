// Package isolator finds model requests that crash the upstreams that run them. A
// request that has crashed one upstream is a suspect and should run apart from
// other suspects. After a second crash, the request is refused.
package isolator
