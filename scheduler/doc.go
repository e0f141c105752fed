// Package scheduler orders the calls that wait for one upstream. Urgent calls go
// first, but ordinary calls are guaranteed a minimum share of the service, the
// floor. Within a rank, organisations share by weight (fair queueing). Within an
// organisation, calls of the program that has received the least service go first.
// Service is counted in generated tokens.
package scheduler
