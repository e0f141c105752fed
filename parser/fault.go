package parser

import (
	"fmt"
	"strings"
)

// Fault is one mistake in a rule file.
type Fault struct {
	// Line and Column count from 1; columns count characters.
	Line   int
	Column int
	// Met describes the text at this position. Allowed describes the text that is
	// allowed there.
	Met     string
	Allowed string
}

// Error returns the fault as one line of text.
func (f Fault) Error() string {
	return fmt.Sprintf("line %d, column %d: met %s; allowed: %s", f.Line, f.Column, f.Met, f.Allowed)
}

// Faults lists the mistakes of a rule file. There is at most one fault per line.
// Faults that can be found only after the whole file was read come last.
type Faults []Fault

// Error returns the faults as text, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
