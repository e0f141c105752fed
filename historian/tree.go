package historian

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Turn is one answered request of a program.
type Turn struct {
	ID string
	// Previous is the ID of the turn that this turn continues; empty if this turn
	// begins a chain.
	Previous string
	// Input is the text that the caller sent.
	Input []byte
	// Output is the data of the answer's events, with a line feed after each event's
	// data.
	Output []byte
	// Retention is how long the turn and all turns before it are kept, counted from
	// the call of Tree.Add.
	Retention time.Duration
}

// Tree holds turns by their IDs. The zero value is empty. It is not safe for
// concurrent use.
type Tree struct {
	nodes map[string]*node
	// missingUntil holds, for each turn that is not in nodes although a turn in
	// nodes or a call of Keep needs it, the time until which it will be needed. A
	// turn whose record was written again may be added after the turns that
	// continue it.
	missingUntil map[string]time.Time
	// bytes is the total size of the inputs and outputs of the turns in nodes.
	bytes int64
}

// node is a turn in the tree with the times that decide how long it is kept.
type node struct {
	turn Turn
	// keepUntil is when the turn may be dropped. It is not before the keepUntil of
	// any turn that continues this turn.
	keepUntil time.Time
	// lastWritten is when the turn was last written to the store.
	lastWritten time.Time
}

// Add adds a turn; age is the time since the turn's record was written to the
// store. All turns before the added turn are then kept at least as long as the
// added turn. Add reports whether the turn is new. For a known turn, Add updates
// the time of the turn's last record, and takes the record's text if it is the whole
// chain and the tree lacks turns before the turn.
func (t *Tree) Add(turn Turn, age time.Duration, now time.Time) bool {
	written := now.Add(-age)
	if n, ok := t.nodes[turn.ID]; ok {
		t.update(n, turn, written)
		return false
	}
	if t.nodes == nil {
		t.nodes = make(map[string]*node)
	}
	if t.missingUntil == nil {
		t.missingUntil = make(map[string]time.Time)
	}
	n := &node{turn: turn, lastWritten: written}
	t.nodes[turn.ID] = n
	t.bytes += n.size()
	keepUntil := now.Add(turn.Retention)
	if needed := t.missingUntil[turn.ID]; needed.After(keepUntil) {
		keepUntil = needed
	}
	delete(t.missingUntil, turn.ID)
	t.extendRetention(turn.ID, keepUntil)
	return true
}

// update applies a further record of a known turn. A record without a previous turn
// contains the whole chain of a turn that has one.
func (t *Tree) update(n *node, turn Turn, written time.Time) {
	if turn.Previous == "" && !t.HasChain(turn.ID) {
		t.bytes -= n.size()
		n.turn.Previous, n.turn.Input, n.turn.Output = "", turn.Input, turn.Output
		t.bytes += n.size()
		n.lastWritten = written
		return
	}
	if n.lastWritten.Before(written) {
		n.lastWritten = written
	}
}

// Keep keeps a turn and all turns before it until the given time at least, including
// those of them that are added later. A turn that is to continue the turn needs them.
func (t *Tree) Keep(id string, keepUntil time.Time) {
	if t.missingUntil == nil {
		t.missingUntil = make(map[string]time.Time)
	}
	t.extendRetention(id, keepUntil)
}

// extendRetention keeps a turn and all turns before it until the given time at
// least.
func (t *Tree) extendRetention(id string, keepUntil time.Time) {
	for id != "" {
		n, ok := t.nodes[id]
		if !ok {
			if t.missingUntil[id].Before(keepUntil) {
				t.missingUntil[id] = keepUntil
			}
			return
		}
		if !n.keepUntil.Before(keepUntil) {
			return
		}
		n.keepUntil = keepUntil
		id = n.turn.Previous
	}
}

// Has reports whether the tree holds a turn.
func (t *Tree) Has(id string) bool {
	_, ok := t.nodes[id]
	return ok
}

// Chain returns the text of a turn and of all turns before it, the oldest first. The
// result is false if any of these turns is not in the tree.
func (t *Tree) Chain(id string) ([]byte, bool) {
	var path []*node
	size := int64(0)
	for n := t.nodes[id]; n != nil; n = t.nodes[n.turn.Previous] {
		path = append(path, n)
		size += n.size()
	}
	if len(path) == 0 || path[len(path)-1].turn.Previous != "" {
		return nil, false
	}
	text := make([]byte, 0, size)
	for i := len(path) - 1; i >= 0; i-- {
		text = append(text, path[i].turn.Input...)
		text = append(text, path[i].turn.Output...)
	}
	return text, true
}

// HasChain reports whether the tree holds a turn and all turns before it.
func (t *Tree) HasChain(id string) bool {
	n, ok := t.nodes[id]
	for ok && n.turn.Previous != "" {
		n, ok = t.nodes[n.turn.Previous]
	}
	return ok
}

// Due returns the turns that were last written to the store before the cutoff, the
// oldest first. They are due until Add is called for their new record.
func (t *Tree) Due(cutoff time.Time) []Turn {
	var due []*node
	for _, n := range t.nodes {
		if n.lastWritten.Before(cutoff) {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(a, b *node) int {
		return cmp.Or(a.lastWritten.Compare(b.lastWritten), cmp.Compare(a.turn.ID, b.turn.ID))
	})
	turns := make([]Turn, len(due))
	for i, n := range due {
		turns[i] = n.turn
	}
	return turns
}

// Prune drops the turns that are no longer needed at the given time.
func (t *Tree) Prune(now time.Time) {
	for id, n := range t.nodes {
		if n.keepUntil.Before(now) {
			delete(t.nodes, id)
			t.bytes -= n.size()
		}
	}
	maps.DeleteFunc(t.missingUntil, func(_ string, until time.Time) bool { return until.Before(now) })
}

// Len returns the number of turns in the tree.
func (t *Tree) Len() int { return len(t.nodes) }

// Bytes returns the total size of the inputs and outputs of the turns in the tree.
func (t *Tree) Bytes() int64 { return t.bytes }

// size returns the size of the turn's texts in bytes.
func (n *node) size() int64 { return int64(len(n.turn.Input) + len(n.turn.Output)) }
