// Package sequencer keeps the calls of a program in order and its history
// whole. Each answer carries a signed token; the next call presents it. The
// token's digest proves that the call extends the very history that was
// answered, so the order follows from data and needs no coordination.
package sequencer
