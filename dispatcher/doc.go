// Package dispatcher is the home of upstreams: for each, it holds the one
// queue, the slots, the load estimate, the breaker and the drain. Two hosts
// that both believe they are home of an upstream cost efficiency and no
// promise.
package dispatcher
