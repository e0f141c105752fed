// Package prover tests the guarantees of citronpier hosts under every fault at
// every step of a program. The hosts run unchanged, over an in-memory network
// and with simulated time. The tests check the records of the fakes in package
// standin and the responses that callers got, never citronpier's own counters.
package prover
