// Package hangup receives SIGHUP from the start of the process on. The default action of
// SIGHUP ends a process, and a daemon that is told to reload its settings in the first
// milliseconds of its life must not end: initialising its packages alone takes that long.
// The package imports little, so that Go initialises it before the daemon's other packages.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one SIGHUP that was not handled yet.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel on which SIGHUP arrives, including one that arrived before
// the call.
func Signals() <-chan os.Signal { return signals }

// Release restores the default action of SIGHUP, for a process that doesn't handle it.
func Release() { signal.Stop(signals) }
