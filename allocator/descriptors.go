package allocator

import "golang.org/x/sys/unix"

const (
	// reservedDescriptors are for listeners, the store, other hosts and the log.
	reservedDescriptors = 64
	// descriptorsPerCaller is the number of descriptors that a caller's connection may need:
	// its own, and one of a connection to an upstream.
	descriptorsPerCaller = 2
	// minCallers is the smallest bound of callers' connections.
	minCallers = 16
)

// Callers returns how many connections callers may have open together. descriptors is the number
// that the process may open; 0 means the limit of the operating system, which also applies if
// it is lower.
func (b Budget) Callers(descriptors int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (descriptors <= 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, 1<<20))
	}
	if descriptors <= 0 {
		return b.Connections()
	}
	return max(minCallers, min(b.Connections(), (descriptors-reservedDescriptors)/descriptorsPerCaller))
}
