package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// goesModels is the number of upstreams, as on the sheet. One of them leaves: 8.3 in 100, where the
	// site file has 13.
	goesModels = 12
	// warmStreams is the number of streams before the disruption, and warmCallers that of callers
	// who send them.
	warmStreams = 1200
	warmCallers = 6
	// minRan is the number of requests that an upstream has run before it loses one answer: the share of
	// lost answers is below 5 in 100, the largest in the site file.
	minRan = 25
	// maxLong is the number of long streams that are sent until one meets such an upstream.
	maxLong = 10
	// longInterval is the time between two events of a long stream.
	longInterval = 200 * time.Millisecond
	// lostAfter is the event after which its answer is lost.
	lostAfter = 7
	// stillWorking is for how long an upstream may still work on a request that goes on at
	// another one.
	stillWorking = 400 * time.Millisecond
)

// leaver chooses the upstream that leaves and the stream whose answer it loses. It is safe for
// concurrent use.
type leaver struct {
	r *run

	mu       sync.Mutex
	upstream *upstream
	id       string
}

// isLong reports whether a request is for a long stream.
func isLong(id string) bool { return strings.HasPrefix(id, "long") }

// onWork makes the upstream leave that begins to run a long stream, if it has run enough requests.
func (l *leaver) onWork(u *upstream, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := len(u.works())
	if l.upstream != nil || !isLong(id) || ran < minRan {
		return
	}
	l.upstream, l.id = u, id
	l.r.record.printf("%s runs %s and will leave; it has run %d requests", u.id, id, ran)
	time.AfterFunc(longInterval, func() { u.drain(l.r) })
}

// resets reports whether an upstream loses the answer of a request after an event.
func (l *leaver) resets(u *upstream, id string, event int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.trouble && u == l.upstream && id == l.id && event == lostAfter
}

// chosen reports whether an upstream leaves.
func (l *leaver) chosen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.upstream != nil
}

// goesOn checks that a stream whose answer is lost goes on at no other upstream while the one
// before still works on it.
func goesOn(r *run) error {
	l := &leaver{r: r}
	interval := func(id string) time.Duration {
		if isLong(id) {
			return longInterval
		}
		return warmEvent
	}
	var models []*upstream
	for n := range goesModels {
		models = append(models, &upstream{
			id: fmt.Sprintf("i-%d", n), service: "models", slots: 24, interval: interval, resets: l.resets, onWork: l.onWork,
		})
	}
	if err := r.deploy(3, configuration, models...); err != nil {
		return err
	}
	if err := r.warm(); err != nil {
		return err
	}
	for n := 0; n < maxLong && !l.chosen(); n++ {
		r.send(r.hosts[n%len(r.hosts)], request{id: fmt.Sprintf("long-%d", n), path: "/free/a", body: "long"})
	}
	if !l.chosen() {
		return errors.New("no long stream met an upstream that has run enough requests")
	}
	// The upstream that leaves may still work on the stream.
	time.Sleep(events * longInterval)
	var all []work
	for _, u := range models {
		all = append(all, u.works()...)
	}
	return r.checkOverlap(all)
}

// warm sends the streams before the disruption.
func (r *run) warm() error {
	failed := make(chan answer, warmStreams)
	var callers sync.WaitGroup
	for c := range warmCallers {
		callers.Go(func() {
			for n := range warmStreams / warmCallers {
				a := r.exchange(r.hosts[(c+n)%len(r.hosts)], request{id: fmt.Sprintf("warm-%d-%d", c, n), path: "/free/a", body: "warm"})
				if a.status != http.StatusOK || !a.whole {
					failed <- a
				}
			}
		})
	}
	callers.Wait()
	if len(failed) > 0 {
		return fmt.Errorf("%d streams before the disruption failed, one with %s", len(failed), <-failed)
	}
	r.record.printf("%d streams were answered whole before the disruption", warmStreams)
	return nil
}

// checkOverlap looks for requests that ran at two upstreams at a time.
func (r *run) checkOverlap(all []work) error {
	var broken []string
	for _, before := range all {
		if !isLong(before.id) {
			continue
		}
		r.record.printf("%s ran %s from %.3f to %.3f, after event %d", before.upstream, before.id,
			r.record.since(before.began), r.record.since(before.ended), before.after)
		for _, next := range all {
			if next.id != before.id || next.upstream == before.upstream || !next.began.After(before.began) {
				continue
			}
			if before.ended.Sub(next.began) > stillWorking {
				broken = append(broken, before.id)
			}
		}
	}
	if len(broken) > 0 {
		return &BrokenError{fmt.Sprintf("TWICE: %v went on at another upstream while the one before still worked on them %s later", broken, stillWorking)}
	}
	return nil
}
