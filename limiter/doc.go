// Package limiter does admission control. It decides whether an organisation is
// within its quota, whether a call may wait in an upstream's queue, and whether an
// upstream's circuit breaker lets calls through. It divides a limit that all hosts keep
// together, such as the requests a second that an upstream takes, by their demands. A call that can't be served is
// refused immediately, without a wait. Under load, calls of new programs are
// refused sooner than calls of programs that have begun.
package limiter
