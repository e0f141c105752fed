// Command bench measures the policy under load and the slopes that the
// capacity page is worked out from. It runs real hosts and the stand-ins on
// loopback, in one process.
package main
