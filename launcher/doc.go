// Package launcher starts a fleet in one process, for the demo, the benchmarks
// and the tests: real hosts, and in-process fakes (package standin) of the
// platform's append log, its service-discovery list, the model engines and the
// services.
package launcher
