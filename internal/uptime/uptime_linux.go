package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including the time in which the machine was suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return fallback()
	}
	return time.Duration(t.Nano())
}
