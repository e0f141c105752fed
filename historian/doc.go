// Package historian holds the turns of programs in memory. Turns form trees, as
// each turn may continue an earlier turn. The chain of a turn is the text of the
// turn and of all turns before it. The package does no I/O and reads no clock:
// callers pass the current time.
package historian
