// Package uptime reads the time since the machine's boot, which goes on while the machine is
// suspended. The monotonic clock that package time uses stands still then.
package uptime
