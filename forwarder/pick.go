package forwarder

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/watcher"
)

// drainDivisor sets for how long a leaving upstream may go on with a stream: for this part
// of the time that it serves on. This host may have seen late that it leaves.
const drainDivisor = 2

// pickUpstream chooses a usable upstream of the service that was not tried yet. It
// returns false if there is no such upstream.
func (e *exchange) pickUpstream(now time.Time) (choice, bool) {
	list, ok := e.config.Upstreams()
	if !ok {
		return choice{}, false
	}
	input := e.choiceInput(now)
	if e.build == (descriptor.Build{}) {
		return e.config.Tracker.choose(list.Usable(e.service.Name, now), input, now)
	}
	if chosen, ok := e.config.Tracker.choose(list.UsableOfBuild(e.build, now), input, now); ok {
		return chosen, true
	}
	return e.config.Tracker.choose(e.leavingUpstreams(list, now), input.withLeavingGrace(e.leavingGrace()), now)
}

// leavingGrace returns for how long a leaving upstream may go on with a stream.
func (e *exchange) leavingGrace() time.Duration { return e.config.Drain / drainDivisor }

// choiceInput returns the inputs to the choice of an upstream.
func (e *exchange) choiceInput(now time.Time) choiceInput {
	return choiceInput{
		request:         e.request,
		dataCentre:      e.config.DataCentre,
		sessionUpstream: e.sessionUpstream,
		programUpstream: e.programUpstream,
		connected:       func(u descriptor.Upstream) bool { return e.config.Exchanger.HasIdle(u, now) },
		tried:           e.tried,
		remoteLoads:     e.config.RemoteLoads(now),
		remoteDemand:    e.config.RemoteDemand(e.service.Name, now),
		maxDelay:        e.maxDelay(now),
	}
}

// leavingUpstreams returns the upstreams of the stream's build that have begun to leave
// so lately that they still take requests, and those that are listed as ready, as they may
// have said since that they leave.
func (e *exchange) leavingUpstreams(list watcher.List, now time.Time) []descriptor.Upstream {
	return append(list.LeavingOfBuild(e.build, now.Add(-e.leavingGrace())), list.UsableOfBuild(e.build, now)...)
}

// sameUpstream returns the upstream that the request was sent to last, and false if it may
// not be sent new requests or runs another build now.
func (e *exchange) sameUpstream(now time.Time) (descriptor.Upstream, bool) {
	list, _ := e.config.Upstreams()
	for _, u := range list.UsableOfBuild(e.build, now) {
		if u.ID == e.upstream.ID {
			return u, true
		}
	}
	return descriptor.Upstream{}, false
}
