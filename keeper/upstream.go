package keeper

import "time"

// lastUpstreamTTL is how long the upstream of the last turn is kept as a hint for the next
// turn.
const lastUpstreamTTL = 30 * time.Second

// lastUpstreams holds the upstream that served the last turn, by session or by program. The
// zero value is empty. It is not safe for concurrent use.
type lastUpstreams struct{ byID map[string]lastUpstream }

// lastUpstream is the upstream that served a last turn.
type lastUpstream struct {
	upstream string
	// endedAt is when the turn ended.
	endedAt time.Time
}

// set stores the upstream that served the last turn of a session or program, if both are
// known.
func (l *lastUpstreams) set(id, upstream string, now time.Time) {
	if id == "" || upstream == "" {
		return
	}
	if l.byID == nil {
		l.byID = make(map[string]lastUpstream)
	}
	l.byID[id] = lastUpstream{upstream: upstream, endedAt: now}
}

// get returns the upstream that served the last turn, or "" if it is not known.
func (l *lastUpstreams) get(id string) string { return l.byID[id].upstream }

// prune drops the upstreams of turns that ended longer than lastUpstreamTTL ago.
func (l *lastUpstreams) prune(now time.Time) {
	for id, last := range l.byID {
		if now.Sub(last.endedAt) > lastUpstreamTTL {
			delete(l.byID, id)
		}
	}
}
