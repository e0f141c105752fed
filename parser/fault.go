package parser

import (
	"fmt"
	"strings"
)

// Fault is one mistake in a rule file.
type Fault struct {
	Line    int
	Column  int
	Met     string
	Allowed string
}

// Error describes the mistake and what is allowed in its place.
func (f Fault) Error() string {
	return fmt.Sprintf("line %d, column %d: met %s; allowed: %s", f.Line, f.Column, f.Met, f.Allowed)
}

// Faults is every mistake of a rule file.
type Faults []Fault

// Error lists the mistakes, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
