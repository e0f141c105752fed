// Package isolator finds requests that crash the upstreams that run them. A request that
// has crashed an upstream is a suspect and should run apart from other suspects. After some
// crashes, as its Policy says, the request is refused. Crashes are learned from the records
// of a log, or from the reports of other hosts.
package isolator
