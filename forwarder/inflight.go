package forwarder

import (
	"container/list"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// result is how a request at an upstream ended, as far as this concerns the
// upstream's health.
type result int

const (
	// resultUnknown says nothing about the upstream's health: the upstream answered
	// that it did not run the request, or the request was cancelled.
	resultUnknown result = iota
	// resultOK is a complete response with a status below 500.
	resultOK
	// resultErrorStatus is a complete response to a call with a status of 500 or
	// above.
	resultErrorStatus
	// resultFailed is every other failure: no connection, no response, an incomplete
	// response, or an error status for a stream.
	resultFailed
)

// inFlightRequest is a request that was sent to an upstream and has not ended.
type inFlightRequest struct {
	state    *upstreamState
	upstream descriptor.Upstream
	sentAt   time.Time
	// uncached is the number of prompt tokens that the engine was expected to read, and
	// idle is true if it was expected to do so at once.
	uncached int64
	idle     bool
	// unansweredElement is the request's element in state.unanswered, or nil once
	// the response has begun.
	unansweredElement *list.Element
	// intervalsMeasured is true once the time between events of the response has been
	// measured.
	intervalsMeasured bool
}

// removeUnanswered removes the request from its upstream's list of unanswered
// requests.
func (r *inFlightRequest) removeUnanswered() {
	if r.unansweredElement != nil {
		r.state.unanswered.Remove(r.unansweredElement)
		r.unansweredElement = nil
	}
}
