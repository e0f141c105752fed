// Package launcher runs hosts and stand-ins in one process, for the demo, the
// benchmarks and the tests.
package launcher
