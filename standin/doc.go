// Package standin holds small fakes of what citronpier meets: the platform's
// log and list, model engines, plain services, tool services and a weight
// store. Each is an HTTP handler with fault switches and keeps a ledger of
// what it did, which tests read instead of the system's own counters.
package standin
