package parser

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// Source is where a rule stands and who asked for it.
type Source struct {
	Line   int
	Asker  string
	Reason string
	Text   string
}

// Rule is one line of a rule file.
type Rule interface {
	// Origin returns where the rule stands and who asked for it.
	Origin() Source
	rule()
}

// Origin returns where the rule stands and who asked for it.
func (s Source) Origin() Source { return s }

// Organisation admits an organisation.
type Organisation struct {
	Source
	Name string
	// Key is the SHA-256 of the organisation's key in hexadecimal.
	Key string
	// Weight is the organisation's share within a rank.
	Weight int
}

// Kind describes the programs of one kind.
type Kind struct {
	Source
	Name string
	Rank descriptor.Rank
	// Share percent of whole programs should end Within the given time. Zero
	// Within sets no target.
	Share  int
	Within time.Duration
	// Budget is the most generated tokens of one program.
	Budget int64
	// Calls is the most calls of one program; 0 is no limit.
	Calls int64
	// Wall is the longest life of one program; 0 is no limit.
	Wall time.Duration
	// Keep is how long a program may pause before its memory is released.
	Keep time.Duration
	// Refused says that new programs of this kind are refused.
	Refused bool
}

// Service describes a plain service.
type Service struct {
	Source
	Name string
	// Once says that a call may not be repeated.
	Once bool
	// Fenced says that the service checks fencing numbers.
	Fenced bool
}

// Floor is what a rank keeps while others flood.
type Floor struct {
	Source
	Rank    descriptor.Rank
	Percent int
}

// Limit bounds an organisation.
type Limit struct {
	Source
	Organisation string
	// Rate is calls a second; 0 is no limit.
	Rate int
	// Running is calls under way on one host; 0 is no limit.
	Running int
}

// Clock names the time zone in which days end.
type Clock struct {
	Source
	Location *time.Location
}

func (Organisation) rule() {}
func (Kind) rule()         {}
func (Service) rule()      {}
func (Floor) rule()        {}
func (Limit) rule()        {}
func (Clock) rule()        {}
