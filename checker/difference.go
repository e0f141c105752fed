package checker

import "fmt"

// Change is how an entry differs between two documents.
type Change string

// The changes of an entry.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an entry that is not the same in two documents.
type Difference struct {
	Change Change `json:"change"`
	Entry  string `json:"entry"`
	// Before and After are the texts of the entry; empty where it does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the difference as a line of text.
func (d Difference) String() string {
	switch d.Change {
	case Added:
		return fmt.Sprintf("added %s: %s", d.Entry, d.After)
	case Removed:
		return fmt.Sprintf("removed %s: %s", d.Entry, d.Before)
	default:
		return fmt.Sprintf("changed %s: %s -> %s", d.Entry, d.Before, d.After)
	}
}

// Compare returns how a document differs from an earlier one.
func Compare(before, after Document) []Difference {
	var differences []Difference
	if after.Version <= before.Version {
		differences = append(differences, Difference{
			Change: Changed, Entry: "version", Before: fmt.Sprint(before.Version), After: fmt.Sprintf("%d, which is not higher", after.Version),
		})
	}
	if before.Body != after.Body {
		differences = append(differences, Difference{
			Change: Changed, Entry: "limit of a body", Before: fmt.Sprint(before.Body), After: fmt.Sprint(after.Body),
		})
	}
	differences = append(differences, compareEntries("route", entries(before.Routes), entries(after.Routes))...)
	differences = append(differences, compareEntries("service", entries(before.Services), entries(after.Services))...)
	return append(differences, compareEntries("organisation", entries(before.Organisations), entries(after.Organisations))...)
}

func (e Entry) entry() Entry { return e }

// entries returns what routes, services or organisations have in common.
func entries[T interface{ entry() Entry }](all []T) []Entry {
	var common []Entry
	for _, e := range all {
		common = append(common, e.entry())
	}
	return common
}

// compareEntries compares the entries of one kind by name.
func compareEntries(kind string, before, after []Entry) []Difference {
	old := make(map[string]Entry)
	for _, e := range before {
		old[e.Name] = e
	}
	var differences []Difference
	seen := make(map[string]bool)
	for _, e := range after {
		seen[e.Name] = true
		previous, ok := old[e.Name]
		switch {
		case !ok:
			differences = append(differences, Difference{Change: Added, Entry: kind + " " + e.Name, After: e.Text})
		case previous.Text != e.Text:
			differences = append(differences, Difference{Change: Changed, Entry: kind + " " + e.Name, Before: previous.Text, After: e.Text})
		}
	}
	for _, e := range before {
		if !seen[e.Name] {
			differences = append(differences, Difference{Change: Removed, Entry: kind + " " + e.Name, Before: e.Text})
		}
	}
	return differences
}
