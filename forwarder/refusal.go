package forwarder

import (
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
)

// methodOf returns how an upstream is chosen, given the split of requests by demand; empty if
// this host hears the loads of all others.
func methodOf(s split, c choiceInput) counter.Choice {
	switch {
	case c.remoteDemand.DataCentres == nil:
		return ""
	case s == nil:
		return counter.ChoiceByCost
	}
	return counter.ChoiceByDemand
}

// countChoice counts a choice of a host that does not hear the loads of all others.
func (e *exchange) countChoice(c choice) {
	e.method = c.method
	if e.method != "" {
		e.config.Counters.Chosen(e.method)
	}
}

// countRefusal counts that the chosen upstream did not run the request, and whether another
// one was believed to have a free slot at this time.
func (e *exchange) countRefusal(now time.Time) {
	if e.method == "" {
		return
	}
	e.config.Counters.Chosen(counter.ChoiceRefused)
	list, _ := e.config.Upstreams()
	if e.config.Tracker.believesFree(list.Usable(e.service.Name, now), e.tried, e.config.RemoteLoads(now)) {
		e.config.Counters.Chosen(counter.ChoiceRefusedWhile)
	}
}

// believesFree reports whether an upstream that was not tried is believed to have a free slot.
func (t *UpstreamTracker) believesFree(upstreams []descriptor.Upstream, tried map[string]bool, remote map[uint64]UpstreamLoad) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range upstreams {
		state := t.stateOf(u)
		if !tried[u.ID] && state.inFlight+remote[state.hash].InFlight < u.Slots {
			return true
		}
	}
	return false
}
