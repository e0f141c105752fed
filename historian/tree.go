package historian

import "time"

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
	bytes int64
}

type node struct {
	turn   Turn
	parent *node
	// until is when the turn may be dropped. A parent's is not before that of
	// its children.
	until time.Time
}

// Add adds a turn, whose chain is then kept as long as the turn. It reports
// whether the turn is new.
func (t *Tree) Add(turn Turn, now time.Time) bool {
	if _, ok := t.nodes[turn.ID]; ok {
		return false
	}
	if t.nodes == nil {
		t.nodes = make(map[string]*node)
	}
	n := &node{turn: turn, parent: t.nodes[turn.Previous]}
	t.nodes[turn.ID] = n
	t.bytes += n.size()
	until := now.Add(turn.Retention)
	for a := n; a != nil && a.until.Before(until); a = a.parent {
		a.until = until
	}
	return true
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
	for n := t.nodes[id]; n != nil; n = n.parent {
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

// Prune drops the turns whose time is over.
func (t *Tree) Prune(now time.Time) {
	for id, n := range t.nodes {
		if n.until.Before(now) {
			delete(t.nodes, id)
			t.bytes -= n.size()
		}
	}
}

// Len returns the number of turns held.
func (t *Tree) Len() int { return len(t.nodes) }

// Bytes returns the size of the texts held.
func (t *Tree) Bytes() int64 { return t.bytes }

func (n *node) size() int64 { return int64(len(n.turn.Input) + len(n.turn.Output)) }
