package parser

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// Source is the place of a rule in its file and the contents of its comment.
type Source struct {
	// Line counts from 1.
	Line int
	// Asker is who asked for the rule. Reason is why the rule was asked for.
	Asker  string
	Reason string
	// Text is the whole line without space at its ends.
	Text string
}

// Rule is one line of a rule file.
type Rule interface {
	// Origin returns the rule's place in its file and who asked for it.
	Origin() Source
	// rule restricts the implementations to this package.
	rule()
}

// Origin returns s. A struct that embeds Source inherits this method and so
// implements Rule.
func (s Source) Origin() Source { return s }

// Organisation is a rule that admits an organisation and its key.
type Organisation struct {
	Source
	Name string
	// Key is the SHA-256 of the organisation's key in hexadecimal.
	Key string
	// Weight is the organisation's share of the capacity among programs of the same
	// rank, relative to the weights of other organisations. It is from 1 to 1000.
	Weight int
}

// Kind is a rule for the programs of one kind. A program is a group of calls under one
// ID that share a token budget.
type Kind struct {
	Source
	Name string
	Rank descriptor.Rank
	// Share is the percentage of programs that should finish within the duration
	// Within. If Within is 0, there is no latency target.
	Share  int
	Within time.Duration
	// Budget is the maximum number of tokens that one program may generate. It is 0
	// only for a refused kind.
	Budget int64
	// Calls is the maximum number of calls of one program; 0 means no limit.
	Calls int64
	// MaxDuration is the maximum time from a program's start to its last call; 0 means no
	// limit.
	MaxDuration time.Duration
	// Retention is how long engines retain memory for a program that makes no call.
	// After that the memory is released.
	Retention time.Duration
	// Refused is true if new programs of this kind are refused.
	Refused bool
}

// Service is a rule for calls to a plain service, which is an upstream that is not
// a model engine.
type Service struct {
	Source
	Name string
	// Once is true if a call must run at most once. Otherwise calls are idempotent
	// and may be repeated.
	Once bool
	// Fenced is true if the service checks the fencing token of each call.
	Fenced bool
}

// Floor is a rule that guarantees a percentage of the capacity to the programs of
// a rank, even if programs of a higher rank could use all of the capacity.
type Floor struct {
	Source
	Rank descriptor.Rank
	// Percent is the guaranteed percentage, from 0 to 100.
	Percent int
}

// Limit is a rule that limits the calls of an organisation.
type Limit struct {
	Source
	Organisation string
	// Rate is the maximum number of calls per second; 0 means no limit.
	Rate int
	// Running is the maximum number of calls in flight on one host; 0 means no
	// limit.
	Running int
}

// Clock is a rule that sets the time zone in which each day of the daily report
// to the owner of the deployment begins and ends.
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
