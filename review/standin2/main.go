// Command standin2 plays the cases of the second review: it starts hosts of the system as
// processes, with stand-ins of the platform's store, upstreams and callers, and checks a rule from
// what callers and upstreams see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	// reason says what was seen.
	reason string
}

// cases are the cases by the name on the command line. trouble is false if the disruption is left
// out.
var cases = map[string]func(r *record, trouble bool) (verdict, error){}

// record is the file in which a case writes what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name, with its record file, and returns the exit code.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	r := &record{began: time.Now(), file: file}
	v, err := cases[args[0]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case v.broken:
		r.printf("broken: %s", v.reason)
		fmt.Println("broken:", v.reason)
		return exitBroken
	}
	r.printf("held: %s", v.reason)
	fmt.Println("held:", v.reason)
	return exitHeld
}
