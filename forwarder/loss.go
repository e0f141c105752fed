package forwarder

import (
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/watcher"
)

const (
	// confirmTime is how long a lost request waits for the list of upstreams to show that
	// its upstream has ended. An upstream that falls silent stays listed for some heartbeats.
	confirmTime = 15 * time.Second
	// aliveHeartbeats is the number of heartbeats after which an upstream has not ended
	// with the request that it lost. The list may be one heartbeat behind at the loss.
	aliveHeartbeats = 2
	// maxLosses is the number of lost requests that wait for the list.
	maxLosses = 1024
)

// loss is a request whose response was lost at an upstream.
type loss struct {
	fingerprint isolator.Fingerprint
	request     string
	upstream    descriptor.Upstream
	// sentAt is when the request was sent, and at when its response was lost.
	sentAt, at time.Time
}

// crash returns the id of the end of the upstream, if it has ended.
func (l loss) crash() string {
	return l.upstream.ID + "/" + strconv.FormatInt(l.upstream.Incarnation, 10)
}

// lossState tells whether the upstream of a loss has ended.
type lossState int

const (
	// lossOpen means that the list doesn't show it yet.
	lossOpen lossState = iota
	// lossCrash means that the upstream has ended.
	lossCrash
	// lossOther means that the upstream goes on, leaves as planned, or that it is not known
	// any more.
	lossOther
)

// state tells from the list of upstreams whether the upstream of a loss has ended.
func (l loss) state(list watcher.List, now time.Time) lossState {
	current, listed := list.Current(l.upstream.ID)
	switch {
	case now.Sub(l.at) > confirmTime || current.Leaving:
		return lossOther
	case !listed || current.Incarnation != l.upstream.Incarnation:
		return lossCrash
	case current.HeartbeatSequence >= l.upstream.HeartbeatSequence+aliveHeartbeats:
		return lossOther
	default:
		return lossOpen
	}
}

// lossQueue holds the losses that wait for the list of upstreams. The zero value is empty.
type lossQueue struct {
	mu      sync.Mutex
	waiting []loss
	// probes joins the probes of one upstream by the requests that it lost together.
	probes singleflight.Group
}

// add adds a loss. If the queue is full, the oldest one is dropped.
func (q *lossQueue) add(l loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, l)
	if len(q.waiting) > maxLosses {
		q.waiting = q.waiting[1:]
	}
}

// takeCrashes removes the losses that the list decides, and returns those at upstreams that
// have ended.
func (q *lossQueue) takeCrashes(list watcher.List, now time.Time) []loss {
	q.mu.Lock()
	defer q.mu.Unlock()
	var crashed, open []loss
	for _, l := range q.waiting {
		switch l.state(list, now) {
		case lossCrash:
			crashed = append(crashed, l)
		case lossOpen:
			open = append(open, l)
		}
	}
	q.waiting = open
	return crashed
}
