// Command standin plays one case of the review: it starts the project's hosts as
// separate processes, with stand-ins for the platform's store, the upstreams and the
// callers, and checks one rule from what callers and upstreams see.
//
// Usage: standin CASE DAEMON RECORD. With the environment variable TROUBLE=0 the case is
// played without its disruption. The exit code is 0 if the rule held, 1 if it was broken
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is the time limit of one case.
const maxRun = 115 * time.Second

// cases holds the cases by name. A case returns whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) (held bool, err error){
	"stop":   playStop,
	"gone":   playGone,
	"frozen": playFrozen,
	"budget": playBudget,
	"thaw":   playThaw,
}

func main() { os.Exit(play()) }

// play plays the case that the arguments name and returns the exit code.
func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DAEMON RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	d, err := newDeployment(os.Args[2], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	giveUp := func(why string) {
		fmt.Fprintln(os.Stderr, why)
		d.close()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxRun, func() { giveUp("the case took too long") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		giveUp("interrupted")
	}()
	held, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.logf("NOT RUN: %v", err)
		return exitNotRun
	case !held:
		record.logf("BROKEN")
		return exitBroken
	}
	record.logf("HELD")
	return exitHeld
}
