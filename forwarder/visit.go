package forwarder

import (
	"container/list"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// result is how a request at an upstream ended.
type result int

const (
	// unknown says nothing of the upstream: it did not take the request, or the
	// caller left.
	unknown result = iota
	// served is an answer that the upstream ended.
	served
	// erred is an answer to a call in which the upstream says that it failed.
	erred
	// failed is anything else.
	failed
)

// visit is a request under way at an upstream.
type visit struct {
	place    *place
	upstream descriptor.Upstream
	sentAt   time.Time
	// waiting is the visit's element of its place's list until the answer begins.
	waiting *list.Element
	// paced says that the times between events were measured.
	paced bool
}

// arrive takes a visit off the list of those that wait.
func (v *visit) arrive() {
	if v.waiting != nil {
		v.place.waiting.Remove(v.waiting)
		v.waiting = nil
	}
}
