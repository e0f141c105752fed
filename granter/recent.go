package granter

import "time"

// recentSlots is the number of parts of a window in which grants are counted. A part counts
// until all of it has left the window.
const recentSlots = 50

// recent counts the credits that were granted in a window. The zero value is empty.
type recent struct {
	slots [recentSlots + 1]int
	// newest is the number of the newest part, counted from boot, and sum that of all credits.
	newest int64
	sum    int
}

// advance drops what has left the window at now.
func (r *recent) advance(window, now time.Duration) {
	number := int64(now / max(1, window/recentSlots))
	if number-r.newest > recentSlots || number < r.newest {
		*r = recent{newest: number}
		return
	}
	for r.newest < number {
		r.newest++
		slot := &r.slots[r.newest%int64(len(r.slots))]
		r.sum -= *slot
		*slot = 0
	}
}

// add counts credits granted now. advance must have been called.
func (r *recent) add(credits int) {
	r.slots[r.newest%int64(len(r.slots))] += credits
	r.sum += credits
}

// until returns how long it takes until at least a number of credits have left the window.
func (r *recent) until(credits float64, window time.Duration) time.Duration {
	part := window / recentSlots
	left := 0
	for age := len(r.slots) - 1; age >= 0; age-- {
		if float64(left) >= credits {
			return part * time.Duration(len(r.slots)-1-age)
		}
		left += r.slots[(r.newest-int64(age)+int64(len(r.slots)))%int64(len(r.slots))]
	}
	return window
}
