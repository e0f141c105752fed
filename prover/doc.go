// Package prover proves the promises: every fault at every step, on real hosts
// over a network in memory and under injected time. It asserts from the
// ledgers of the stand-ins and from what callers were told, never from the
// system's own counters.
package prover
