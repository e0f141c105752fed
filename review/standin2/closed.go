package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["closed"] = playClosed }

const (
	// keepers is the number of callers that keep their channels for further requests, and
	// keeperPause the longest time that such a caller waits before its next request.
	keepers     = 100
	keeperPause = 4 * time.Millisecond
	// keepTime is how long they send requests, and keeperLimit the time limit of each.
	keepTime    = 70 * time.Second
	keeperLimit = 2 * time.Second
	// settleTime is the time in which a request that was not answered begins at an upstream, if it
	// was sent to one.
	settleTime = 100 * time.Millisecond
	// allowedCloses is the number of requests whose channel may be closed without an answer.
	allowedCloses = 3
)

// kept counts what became of requests that may run once, on kept channels.
type kept struct {
	record    *record
	address   string
	upstreams []*upstream

	mu sync.Mutex
	// first counts requests that were the first ones on their channels. Of the others, answered
	// counts those with a whole answer, unread those whose channel was closed and that did not
	// run, and lost those that an upstream ran and whose channel was closed without an answer.
	first, answered, unread, lost int
}

// playClosed has callers that keep their channels, and others that open channels and send nothing.
func playClosed(r *record, trouble bool) (verdict, error) {
	app := func(id, zone string) *upstream {
		return &upstream{id: id, service: appService, zone: zone, slots: 64, work: 3 * time.Millisecond, answerBytes: smallAnswer}
	}
	k := &kept{record: r, upstreams: []*upstream{app("app-1", "zone-a"), app("app-2", "zone-b")}}
	d, err := newDeployment(smallSettings(), newStore(true), configuration(60), k.upstreams...)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	k.address = d.hosts[0].front
	ctx, cancel := context.WithTimeout(context.Background(), keepTime)
	defer cancel()
	var callers sync.WaitGroup
	var opened atomic.Int64
	if trouble {
		for range openers {
			callers.Go(func() { openConnections(ctx, k.address, &opened) })
		}
	}
	for range keepers {
		callers.Go(func() { k.play(ctx) })
	}
	callers.Wait()
	r.printf("%d channels opened by the crowd; requests that may run once: %d first ones on a channel, others: %d answered, %d closed unread, %d run and closed without an answer",
		opened.Load(), k.first, k.answered, k.unread, k.lost)
	return verdict{k.lost > allowedCloses, fmt.Sprintf("%d requests on kept channels were run by a sound upstream and their channels closed without an answer (%d answered)", k.lost, k.answered)}, nil
}

// play sends one request after the other, on the same channel while it is open.
func (k *kept) play(ctx context.Context) {
	c := &channel{address: k.address}
	defer c.close()
	for ; ctx.Err() == nil; time.Sleep(rand.N(keeperPause)) {
		r := call{method: "POST", path: oncePrefix + "order", id: newID(), timeLimit: keeperLimit, body: []byte("order")}
		k.count(r, c.send(r))
	}
}

// count counts a request.
func (k *kept) count(r call, a answer) {
	whole := a.status == 200 && a.complete
	if !whole {
		// A request that is on the way to an upstream has time to begin there.
		time.Sleep(settleTime)
	}
	ran := 0
	for _, u := range k.upstreams {
		ran += u.ran(r.id)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case a.first:
		k.first++
	case whole:
		k.answered++
	case ran == 0:
		k.unread++
	default:
		k.lost++
		k.record.printf("request %s: run %d times, status %d, no answer: %v", r.id, ran, a.status, a.err)
	}
}
