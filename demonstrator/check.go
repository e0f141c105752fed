package demonstrator

import (
	"fmt"
)

// BrokenError names a promise that did not hold in the demo.
type BrokenError struct {
	Promise string
	Detail  string
}

// Error describes the failure.
func (e *BrokenError) Error() string { return "broken: " + e.Promise + ": " + e.Detail }

// check compares what callers were told with the ledgers of the stand-ins.
func (d *Demo) check() error {
	d.tally.mu.Lock()
	defer d.tally.mu.Unlock()
	for _, r := range d.tally.results {
		switch {
		case r.err != nil:
			return &BrokenError{"no program is lost", fmt.Sprintf("%s %s: %v", r.kind, r.name, r.err)}
		case r.mixed:
			return &BrokenError{"every caller gets the whole answer to its own request", r.kind + " " + r.name}
		}
	}
	if err := d.checkOnce(); err != nil {
		return err
	}
	return d.checkBudgets()
}

func (d *Demo) checkOnce() error {
	ran := make(map[string]int)
	for name, s := range d.fleet.Services {
		if name == "install" {
			continue
		}
		for _, one := range s.Ran() {
			ran[one.Key]++
		}
	}
	for key, n := range ran {
		if n > 1 {
			return &BrokenError{"a call that may not be repeated runs at most once", fmt.Sprintf("%s ran %d times", key, n)}
		}
	}
	for _, r := range d.tally.results {
		if r.notRun != "" && ran[r.notRun] > 0 {
			return &BrokenError{"what is told as not run was not run", r.notRun}
		}
	}
	return nil
}

// checkBudgets adds up what the engines generated for each program.
func (d *Demo) checkBudgets() error {
	spent := make(map[string]int64)
	for _, e := range d.fleet.Engines {
		for _, r := range e.Runs() {
			spent[r.Session] += r.Generated
		}
	}
	rules := d.fleet.Hosts[0].Node.Rules()
	for _, r := range d.tally.results {
		kind, _ := rules.Kind(r.kind)
		if spent[r.program] > kind.Budget {
			return &BrokenError{"a program never exceeds its budget", r.program}
		}
	}
	return nil
}
