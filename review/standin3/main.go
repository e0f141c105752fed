// Command standin3 runs the cases 11 to 13 of the review. It starts hosts of citronpier as separate
// processes, with stand-ins for the platform's store, the upstreams and the callers, brings about
// the disruption of one case, and checks the rule that the case names from what callers and
// upstreams see.
//
// Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// usageArgs is the number of arguments: the program, the case and the folder of the case.
	usageArgs = 3
	// caseTimeout is how long a case may run.
	caseTimeout = 110 * time.Second
)

// cases has the cases by their names.
var cases = map[string]func(*run) error{
	"goes": goesOn,
	"kept": keptTurn,
	"part": partOfEvent,
}

// BrokenError reports that the rule of the case was broken.
type BrokenError struct{ Detail string }

// Error implements the error interface.
func (e *BrokenError) Error() string { return e.Detail }

func main() { os.Exit(play()) }

// play plays the case that the arguments name and returns the exit code.
func play() int {
	if len(os.Args) != usageArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	r := &run{record: rec, ctx: ctx, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.stop()
	go r.stopOnSignal()
	rec.printf("case %s, disruption %t", os.Args[1], r.trouble)
	err = cases[os.Args[1]](r)
	var broken *BrokenError
	switch {
	case err == nil:
		rec.printf("result: the rule held")
		return exitHeld
	case errors.As(err, &broken):
		rec.printf("result: the rule was BROKEN: %v", err)
		return exitBroken
	default:
		rec.printf("result: the case could not run: %v", err)
		return exitFailed
	}
}

// stopOnSignal ends what the run has started, and the program, if it is told to end.
func (r *run) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	r.stop()
	os.Exit(exitFailed)
}
