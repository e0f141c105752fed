package historian

import (
	"maps"
	"time"
)

// Turn is one answered turn of a program.
type Turn struct {
	ID string
	// Previous is the turn that this one continues; empty begins a chain.
	Previous string
	Input    []byte
	// Output is the data of each event, each followed by a line feed.
	Output []byte
	// Retention is how long the turn and its chain are kept.
	Retention time.Duration
}

// Tree holds turns by their ids. The zero value is empty.
type Tree struct {
	nodes map[string]*node
	// awaited has how long turns that are not held are needed by later ones: a
	// turn that was written again comes after those that continue it.
	awaited map[string]time.Time
	bytes   int64
}

type node struct {
	turn Turn
	// until is when the turn may be dropped. A parent's is not before that of
	// its children.
	until time.Time
	// recorded is when the turn was last written to the store.
	recorded time.Time
}

// Add adds a turn that was written to the store some time ago, and whose chain
// is then kept as long as the turn. It reports whether the turn is new.
func (t *Tree) Add(turn Turn, age time.Duration, now time.Time) bool {
	recorded := now.Add(-age)
	if n, ok := t.nodes[turn.ID]; ok {
		if n.recorded.Before(recorded) {
			n.recorded = recorded
		}
		return false
	}
	if t.nodes == nil {
		t.nodes = make(map[string]*node)
		t.awaited = make(map[string]time.Time)
	}
	n := &node{turn: turn, recorded: recorded}
	t.nodes[turn.ID] = n
	t.bytes += n.size()
	until := now.Add(turn.Retention)
	if needed := t.awaited[turn.ID]; needed.After(until) {
		until = needed
	}
	delete(t.awaited, turn.ID)
	t.keep(turn.ID, until)
	return true
}

// keep has a turn and all before it kept until a time.
func (t *Tree) keep(id string, until time.Time) {
	for id != "" {
		n, ok := t.nodes[id]
		if !ok {
			if t.awaited[id].Before(until) {
				t.awaited[id] = until
			}
			return
		}
		if !n.until.Before(until) {
			return
		}
		n.until = until
		id = n.turn.Previous
	}
}

// Has reports whether the tree holds a turn.
func (t *Tree) Has(id string) bool {
	_, ok := t.nodes[id]
	return ok
}

// Chain returns the text of a turn and all before it, the oldest first. It is
// false where a turn of the chain is not held.
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

// Whole reports whether the tree holds a turn and all before it.
func (t *Tree) Whole(id string) bool {
	n, ok := t.nodes[id]
	for ok && n.turn.Previous != "" {
		n, ok = t.nodes[n.turn.Previous]
	}
	return ok
}

// Due returns the turns that were last written before a time, and takes them as
// written now.
func (t *Tree) Due(before, now time.Time) []Turn {
	var due []Turn
	for _, n := range t.nodes {
		if n.recorded.Before(before) {
			n.recorded = now
			due = append(due, n.turn)
		}
	}
	return due
}

// Prune drops the turns whose time is over.
func (t *Tree) Prune(now time.Time) {
	for id, n := range t.nodes {
		if n.until.Before(now) {
			delete(t.nodes, id)
			t.bytes -= n.size()
		}
	}
	maps.DeleteFunc(t.awaited, func(_ string, until time.Time) bool { return until.Before(now) })
}

// Len returns the number of turns held.
func (t *Tree) Len() int { return len(t.nodes) }

// Bytes returns the size of the texts held.
func (t *Tree) Bytes() int64 { return t.bytes }

func (n *node) size() int64 { return int64(len(n.turn.Input) + len(n.turn.Output)) }
