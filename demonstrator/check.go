package demonstrator

import (
	"fmt"
)

// GuaranteeError reports that the demo found a violated guarantee of the
// system.
type GuaranteeError struct {
	// Guarantee is the violated guarantee as a sentence.
	Guarantee string
	// Detail names the program or call that violated the guarantee.
	Detail string
}

// Error returns the violated guarantee and the program or call at fault.
func (e *GuaranteeError) Error() string {
	return "guarantee violated: " + e.Guarantee + ": " + e.Detail
}

// checkGuarantees compares what the callers received with the executions that
// the fakes of the engines and services recorded. It returns the first violated
// guarantee as a *GuaranteeError.
func (d *Demo) checkGuarantees() error {
	d.results.mu.Lock()
	defer d.results.mu.Unlock()
	for _, r := range d.results.list {
		switch {
		case r.err != nil:
			return &GuaranteeError{"no program is lost", fmt.Sprintf("%s %s: %v", r.kind, r.name, r.err)}
		case r.wrongAnswer:
			return &GuaranteeError{"every caller gets the complete answer to its own request", r.kind + " " + r.name}
		}
	}
	if err := d.checkServiceCalls(); err != nil {
		return err
	}
	return d.checkBudgets()
}

// checkServiceCalls checks that no two executions have the same idempotency
// key, and that no call was executed if its caller was told that the call was
// not run. It skips the service install, because the rule file allows its calls
// to be repeated.
func (d *Demo) checkServiceCalls() error {
	executions := make(map[string]int)
	for name, s := range d.fleet.Services {
		if name == "install" {
			continue
		}
		for _, execution := range s.Ran() {
			executions[execution.Key]++
		}
	}
	for key, n := range executions {
		if n > 1 {
			return &GuaranteeError{"a call that may not be repeated runs at most once", fmt.Sprintf("%s ran %d times", key, n)}
		}
	}
	for _, r := range d.results.list {
		if r.notRunKey != "" && executions[r.notRunKey] > 0 {
			return &GuaranteeError{"a call reported as not run was not run", r.notRunKey}
		}
	}
	return nil
}

// checkBudgets checks that the tokens that all engines together generated for a
// program do not exceed the budget of the program's kind.
func (d *Demo) checkBudgets() error {
	generated := make(map[string]int64)
	for _, e := range d.fleet.Engines {
		for _, r := range e.Runs() {
			generated[r.Session] += r.Generated
		}
	}
	rules := d.fleet.Hosts[0].Node.Rules()
	for _, r := range d.results.list {
		kind, _ := rules.Kind(r.kind)
		if generated[r.program] > kind.Budget {
			return &GuaranteeError{"a program never exceeds its budget", r.program}
		}
	}
	return nil
}
