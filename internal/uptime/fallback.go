package uptime

import "time"

var started = time.Now()

// fallback returns the time since the process started by the monotonic clock.
func fallback() time.Duration { return time.Since(started) }
