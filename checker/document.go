package checker

import (
	"fmt"
	"time"
)

// Place is where an entry begins in its text. Lines and columns count from 1; the zero value is
// an unknown place.
type Place struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// String returns LINE:COLUMN.
func (p Place) String() string { return fmt.Sprintf("%d:%d", p.Line, p.Column) }

// Document is a configuration as it was written.
type Document struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Body is the limit of a request's body in bytes; 0 if there is none.
	Body int64
	// Malformed are the entries that could not be read.
	Malformed []Finding
}

// Entry is what all entries of a Document have.
type Entry struct {
	Place Place
	Name  string
	// Text is the entry in a form that is the same for equal entries.
	Text string
}

// Route is a route of a Document. Services are those with a weight above 0.
type Route struct {
	Entry
	Host, Prefix string
	Kind         string
	Timeout      time.Duration
	// Objective is the time within which callers want an answer; 0 if there is none.
	Objective time.Duration
	Attempts  int
	Services  []string
}

// Service is a service of a Document.
type Service struct {
	Entry
	Connections int
}

// Organisation is an organisation of a Document. Keys are digests.
type Organisation struct {
	Entry
	Keys             []string
	PerSecond, Burst float64
}

// Finding is a mistake in a Document.
type Finding struct {
	Place Place `json:"place"`
	// Entry names the kind and the name of the entry.
	Entry  string `json:"entry"`
	Detail string `json:"detail"`
}

// String returns the finding as a line of text.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Place, f.Entry, f.Detail) }
