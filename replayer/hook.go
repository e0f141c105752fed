package replayer

import (
	"cmp"
	"slices"

	"github.com/citronpier/citronpier/recorder"
)

// Hook applies records to one part of the state. Hooks are called with the
// replica's lock held and must not block.
type Hook interface {
	// Apply applies one record.
	Apply(offset int64, record *recorder.Record)
	// Prune drops what follows only from records before the first kept offset.
	Prune(first int64)
}

// Prioritized is a hook and its place in the order; lower priorities go first.
type Prioritized struct {
	Hook     Hook
	Priority int
}

func sorted(hooks []Prioritized) []Prioritized {
	c := slices.Clone(hooks)
	slices.SortStableFunc(c, func(a, b Prioritized) int { return cmp.Compare(a.Priority, b.Priority) })
	return c
}
