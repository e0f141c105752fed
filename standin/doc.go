// Package standin provides fakes of the external systems that citronpier talks
// to: the platform's log and service-discovery list, the log store of an
// embedding platform, model engines and plain HTTP services. A fake can inject
// faults, and most fakes record what they executed; tests check these records
// in place of citronpier's own counters. The package also provides an in-memory
// network, and connections that can be killed, paused or made silent.
package standin
