// Package standin provides fakes of the external systems that citronpier talks
// to: the platform's log and service-discovery list, the log store of an
// embedding platform, model engines and plain HTTP services. The fakes can inject
// faults. Most fakes record the calls that they executed, so that tests can check
// these records and need not rely on citronpier's own counters. The package also
// provides an in-memory network, and connections that can be killed, paused or
// made silent.
package standin
