//go:build !linux

package uptime

import "time"

// Now returns the time since the process started. It does not count the time in which the
// machine was suspended.
func Now() time.Duration { return fallback() }
