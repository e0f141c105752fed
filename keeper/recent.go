package keeper

// maxRecentTurns is the number of turns of a program that a recentTurns keeps. A call that is
// carried out late comes within the next few turns.
const maxRecentTurns = 64

// recentTurns holds the tokens that the newest turns of a program generated. The zero value is
// empty. It is not safe for concurrent use.
type recentTurns struct {
	generated map[string]int64
	// order has the turns in the order in which they were added.
	order []string
}

// has reports whether a turn was added lately.
func (t *recentTurns) has(turn string) bool {
	_, ok := t.generated[turn]
	return ok
}

// add adds a turn. It returns by how much the turn's tokens exceed those of an earlier call
// for the same turn.
func (t *recentTurns) add(turn string, generated int64) int64 {
	known, ok := t.generated[turn]
	if !ok {
		t.append(turn)
	}
	t.generated[turn] = max(known, generated)
	return t.generated[turn] - known
}

// append adds a turn to the order, and drops the oldest one if there are too many.
func (t *recentTurns) append(turn string) {
	if t.generated == nil {
		t.generated = make(map[string]int64)
	}
	t.order = append(t.order, turn)
	if len(t.order) > maxRecentTurns {
		delete(t.generated, t.order[0])
		t.order = t.order[1:]
	}
}
