package allocator

import "time"

// makeRoom makes room for more bytes of a body, and reports whether there is room now. A body
// with no other beside it always gets what it needs. The caller must hold mu.
func (b *Bodies) makeRoom(body *Body, bytes int64, now time.Time) bool {
	for body.held+bytes > FreeBodyBytes && b.used+bytes > b.size() && b.used > body.held {
		victim := b.victim(body, bytes, now)
		if victim == nil {
			return false
		}
		b.giveWay(victim)
	}
	return true
}

// ShedStalled lets a body give way that arrives below the minimum rate, and reports whether there
// was one. It is the one of which nothing has arrived for the longest time.
func (b *Bodies) ShedStalled(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var victim *Body
	for body := range b.open {
		if body.stalled(now) && (victim == nil || body.lastAt.Before(victim.lastAt)) {
			victim = body
		}
	}
	if victim == nil {
		return false
	}
	b.giveWay(victim)
	return true
}

// victim returns the body that gives way to another one which needs more bytes, or nil if none
// does. The caller must hold mu.
func (b *Bodies) victim(asking *Body, bytes int64, now time.Time) *Body {
	held, share := b.shares(asking.address)
	asks := held[asking.address] + bytes
	var victim *Body
	best := precedes
	for body := range b.open {
		if body == asking || body.state != arriving || body.held <= FreeBodyBytes {
			continue
		}
		rank := precedes
		switch {
		case body.stalled(now):
			rank = givesWayStalled
		case held[body.address] > share && asks <= share:
			rank = givesWayOverShare
		case body.remaining() > asking.remaining() && (body.address == asking.address || asks <= share || held[body.address] > share):
			rank = givesWayBehind
		}
		if rank > best || rank == best && rank > precedes && body.remaining() > victim.remaining() {
			victim, best = body, rank
		}
	}
	return victim
}

// rank orders bodies by how readily they give way to another one.
type rank int

const (
	// precedes: the body does not give way.
	precedes rank = iota
	// givesWayBehind: more of the body is left to arrive than of the other one.
	givesWayBehind
	// givesWayOverShare: the address of the body holds more than its share.
	givesWayOverShare
	// givesWayStalled: the body arrives below the minimum rate.
	givesWayStalled
)

// shares returns the bytes that each address holds, and the fair share of an address. The given
// address counts even if it holds nothing. The caller must hold mu.
func (b *Bodies) shares(asking string) (held map[string]int64, share int64) {
	held = map[string]int64{asking: 0}
	for body := range b.open {
		held[body.address] += body.held
	}
	return held, b.size() / int64(len(held))
}

// stalled reports whether a body arrives below the minimum rate.
func (b *Body) stalled(now time.Time) bool {
	return b.state == arriving && (b.slow || now.Sub(b.lastAt) >= stallWindow)
}

// remaining returns how many bytes of the body are still to arrive. A body of undeclared length
// is assumed to double.
func (b *Body) remaining() int64 {
	if b.declared >= 0 {
		return b.declared - b.received
	}
	return min(b.limit, max(undeclaredBytes, 2*b.received)) - b.received
}
