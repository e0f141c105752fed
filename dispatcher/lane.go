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
	// queuePerSlot is the number of calls of one rank that may wait for each
	// slot of an upstream.
	queuePerSlot = 16
	// smoothing is the weight of the newest service time in the estimate.
	smoothing = 0.2
	// firstService is the assumed service time before any is known.
	firstService = 500 * time.Millisecond
)

// lane is the queue and the slots of one upstream.
type lane struct {
	// suspects lets one request at a time through that may crash the upstream.
	suspects chan struct{}

	mu       sync.Mutex
	upstream descriptor.Upstream
	queue    scheduler.Queue
	granted  map[*scheduler.Item]chan struct{}
	running  int
	// service is the smoothed time that a call holds a slot.
	service time.Duration
	breaker limiter.Breaker
}

func newLane(u descriptor.Upstream, order scheduler.Discipline) *lane {
	return &lane{
		queue:    scheduler.Queue{Discipline: order},
		suspects: make(chan struct{}, 1),
		upstream: u,
		granted:  make(map[*scheduler.Item]chan struct{}),
		service:  firstService,
	}
}

// enter queues a call, or refuses it.
func (l *lane) enter(item *scheduler.Item, floor int, deadline time.Duration, now time.Time) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.upstream.Leaving {
		return nil, refuser.New(refuser.Upstream, "upstream %s is leaving", l.upstream.ID)
	}
	if !l.breaker.Allows(now) {
		return nil, refuser.New(refuser.Upstream, "upstream %s fails", l.upstream.ID).WithRetry(time.Second)
	}
	switch d := l.admission(item, deadline).Decide().(type) {
	case limiter.Full:
		return nil, refuser.New(refuser.Queue, "the queue of upstream %s is full", l.upstream.ID).WithRetry(d.Retry)
	case limiter.Late:
		return nil, refuser.New(refuser.Deadline, "the deadline would pass in the queue").WithRetry(d.Retry)
	}
	l.breaker = l.breaker.WithProbe(now)
	l.queue.Floor = floor
	l.queue.Push(item)
	c := make(chan struct{})
	l.granted[item] = c
	l.fill()
	return c, nil
}

// admission returns what the decision to let a call wait depends on.
func (l *lane) admission(item *scheduler.Item, deadline time.Duration) limiter.Admission {
	own := l.queue.WaitingOf(item.Rank, item.Organisation)
	organisations := l.queue.Organisations(item.Rank)
	if own == 0 {
		organisations++
	}
	return limiter.Admission{
		Waiting:       l.queue.Waiting(item.Rank),
		Own:           own,
		Organisations: organisations,
		Bound:         l.slots() * queuePerSlot,
		Wait:          l.wait(),
		Deadline:      deadline,
		Begun:         item.Begun,
	}
}

// leave takes a call out of the queue, or gives its slot back.
func (l *lane) leave(item *scheduler.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Remove(item) {
		delete(l.granted, item)
		return
	}
	l.running--
	l.fill()
}

// fill gives free slots to waiting calls.
func (l *lane) fill() {
	for l.running < l.slots() {
		item := l.queue.Pop()
		if item == nil {
			return
		}
		l.running++
		close(l.granted[item])
		delete(l.granted, item)
	}
}

func (l *lane) slots() int { return max(1, l.upstream.Slots) }

// wait estimates how long a new call would wait.
func (l *lane) wait() time.Duration {
	if l.running < l.slots() {
		return 0
	}
	return l.service * time.Duration(l.queue.Len()+1) / time.Duration(l.slots())
}

func (l *lane) load() *messenger.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &messenger.Load{
		Upstream: l.upstream.ID,
		Running:  int32(l.running),
		Queued:   int32(l.queue.Len()),
		Limit:    int32(l.slots()),
		WaitUs:   l.wait().Microseconds(),
		Broken:   l.breaker.Open(),
	}
}

func (l *lane) update(u descriptor.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstream = u
	l.fill()
}

func (l *lane) current() descriptor.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.upstream
}

func (l *lane) succeeded(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaker = l.breaker.WithSuccess()
	l.service += time.Duration(smoothing * float64(took-l.service))
}

func (l *lane) failed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaker = l.breaker.WithFailure(now)
}

// isolate waits until no other suspect runs on the upstream.
func (l *lane) isolate(ctx context.Context) (release func(), err error) {
	select {
	case l.suspects <- struct{}{}:
		return func() { <-l.suspects }, nil
	case <-ctx.Done():
		return nil, refuser.New(refuser.Cancelled, "cancelled before it was sent")
	}
}
