// Package granter decides which requests of organisations may be sent. The home of an
// organisation grants credits out of one token bucket, and each host spends them from a pool.
// Times are times since boot, which count the time in which the machine was suspended.
package granter
