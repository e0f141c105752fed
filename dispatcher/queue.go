package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/limiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/scheduler"
)

const (
	// maxQueuedPerSlot is the maximum number of calls of one rank that may wait
	// for each slot of an upstream.
	maxQueuedPerSlot = 16
	// smoothingFactor is the weight of the newest service time in the moving
	// average.
	smoothingFactor = 0.2
	// initialServiceTime is the assumed service time before any call has ended.
	initialServiceTime = 500 * time.Millisecond
)

// upstreamQueue holds the waiting calls, the slots, the load estimate and the
// circuit breaker of one upstream.
type upstreamQueue struct {
	// isolation is a semaphore of size 1. Requests that may crash the upstream
	// hold it while they run, so that only one of them runs at a time.
	isolation chan struct{}

	mu       sync.Mutex
	upstream descriptor.Upstream
	waiting  scheduler.Queue
	// grants holds, for each waiting call, the channel that is closed when the
	// call is granted a slot.
	grants map[*scheduler.Item]chan struct{}
	// running is the number of calls that hold a slot.
	running int
	// serviceTime is the exponential moving average of the time that a call
	// holds a slot.
	serviceTime time.Duration
	breaker     limiter.Breaker
}

func newUpstreamQueue(u descriptor.Upstream, order scheduler.Discipline) *upstreamQueue {
	return &upstreamQueue{
		waiting:     scheduler.Queue{Discipline: order},
		isolation:   make(chan struct{}, 1),
		upstream:    u,
		grants:      make(map[*scheduler.Item]chan struct{}),
		serviceTime: initialServiceTime,
	}
}

// enqueue queues a call, or returns a refusal. The returned channel is closed once
// the call is granted a slot. The caller must call remove for every queued call.
// While urgent calls wait too, ordinary calls still receive at least floor percent
// of the service. The call may wait for at most deadline; 0 means no limit.
func (q *upstreamQueue) enqueue(item *scheduler.Item, floor int, deadline time.Duration, now time.Time) (<-chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.upstream.Leaving {
		return nil, refuser.New(refuser.Upstream, "upstream %s is leaving", q.upstream.ID)
	}
	if !q.breaker.Allows(now) {
		return nil, refuser.New(refuser.Upstream, "upstream %s fails", q.upstream.ID).WithRetry(time.Second)
	}
	switch d := q.admission(item, deadline).Decide().(type) {
	case limiter.QueueFull:
		return nil, refuser.New(refuser.Queue, "the queue of upstream %s is full", q.upstream.ID).WithRetry(d.Retry)
	case limiter.DeadlineExceeded:
		return nil, refuser.New(refuser.Deadline, "the deadline would pass in the queue").WithRetry(d.Retry)
	}
	q.breaker = q.breaker.WithProbe(now)
	q.waiting.Floor = floor
	q.waiting.Push(item)
	c := make(chan struct{})
	q.grants[item] = c
	q.grantSlots()
	return c, nil
}

// admission returns the state from which package limiter decides whether a call may
// wait.
func (q *upstreamQueue) admission(item *scheduler.Item, deadline time.Duration) limiter.Admission {
	ownWaiting := q.waiting.WaitingOf(item.Rank, item.Organisation)
	organisations := q.waiting.Organisations(item.Rank)
	if ownWaiting == 0 {
		organisations++
	}
	return limiter.Admission{
		Waiting:       q.waiting.Waiting(item.Rank),
		OwnWaiting:    ownWaiting,
		Organisations: organisations,
		MaxWaiting:    q.slots() * maxQueuedPerSlot,
		Wait:          q.expectedWait(),
		Deadline:      deadline,
		Begun:         item.Begun,
	}
}

// remove takes a waiting call out of the queue, or releases the slot that a call
// was granted.
func (q *upstreamQueue) remove(item *scheduler.Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.Remove(item) {
		delete(q.grants, item)
		return
	}
	q.running--
	q.grantSlots()
}

// grantSlots gives free slots to waiting calls. The caller holds mu.
func (q *upstreamQueue) grantSlots() {
	for q.running < q.slots() {
		item := q.waiting.Pop()
		if item == nil {
			return
		}
		q.running++
		close(q.grants[item])
		delete(q.grants, item)
	}
}

// slots returns the number of calls that the upstream may run at a time.
func (q *upstreamQueue) slots() int { return max(1, q.upstream.Slots) }

// expectedWait estimates how long a new call would wait for a slot.
func (q *upstreamQueue) expectedWait() time.Duration {
	if q.running < q.slots() {
		return 0
	}
	return q.serviceTime * time.Duration(q.waiting.Len()+1) / time.Duration(q.slots())
}

// load returns a snapshot of the upstream's load, for other hosts.
func (q *upstreamQueue) load() *messenger.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &messenger.Load{
		Upstream: q.upstream.ID,
		Running:  int32(q.running),
		Queued:   int32(q.waiting.Len()),
		Limit:    int32(q.slots()),
		WaitUs:   q.expectedWait().Microseconds(),
		Broken:   q.breaker.Open(),
	}
}

// setUpstream applies a newer description of the upstream. If the upstream has more
// slots than before, the new slots are given to waiting calls.
func (q *upstreamQueue) setUpstream(u descriptor.Upstream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.upstream = u
	q.grantSlots()
}

func (q *upstreamQueue) currentUpstream() descriptor.Upstream {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.upstream
}

// observeSuccess closes the circuit breaker and adds the time that the call held
// its slot to the moving average.
func (q *upstreamQueue) observeSuccess(duration time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.breaker = q.breaker.WithSuccess()
	q.serviceTime += time.Duration(smoothingFactor * float64(duration-q.serviceTime))
}

// observeFailure counts a failure; several consecutive failures open the circuit
// breaker.
func (q *upstreamQueue) observeFailure(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.breaker = q.breaker.WithFailure(now)
}

// acquireIsolation waits until no other request that may crash the upstream is
// running on it. The caller must call release when its request has ended.
func (q *upstreamQueue) acquireIsolation(ctx context.Context) (release func(), err error) {
	select {
	case q.isolation <- struct{}{}:
		return func() { <-q.isolation }, nil
	case <-ctx.Done():
		return nil, refuser.New(refuser.Cancelled, "cancelled before it was sent")
	}
}
