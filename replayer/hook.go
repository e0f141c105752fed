package replayer

import (
	"cmp"
	"slices"

	"github.com/citronpier/citronpier/recorder"
)

// Hook holds one part of the replicated state and applies records to it. Its
// methods are called with the replica's lock held and must not block.
type Hook interface {
	// Apply applies one record. The offset is the offset of the record's batch.
	// Apply is called in offset order and must ignore records of types that it
	// doesn't know.
	Apply(offset int64, record *recorder.Record)
	// Prune drops the state that derives only from records before first, the
	// first offset that the log still retains.
	Prune(first int64)
}

// Prioritized is a hook with its priority. For each record, the hook with the
// lowest Priority is called first.
type Prioritized struct {
	Hook     Hook
	Priority int
}

// sortByPriority returns a copy of hooks in the order in which they are called.
// Hooks of equal priority keep their order.
func sortByPriority(hooks []Prioritized) []Prioritized {
	c := slices.Clone(hooks)
	slices.SortStableFunc(c, func(a, b Prioritized) int { return cmp.Compare(a.Priority, b.Priority) })
	return c
}
