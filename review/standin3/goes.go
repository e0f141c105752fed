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
	// warmStreams is the number of streams before the disruption: the share of lost answers at an
	// upstream stays below maxLostPercent, the largest in the site file.
	warmStreams    = 400
	maxLostPercent = 5
	// longStreams is the number of streams that are under way at the disruption. Those at the
	// upstream that leaves lose their answer.
	longStreams = 4
	// longInterval is the time between two events of these streams.
	longInterval = 200 * time.Millisecond
	// lostAfter is the event after which an answer is lost.
	lostAfter = 7
	// stillWorking is for how long an upstream may still work on a request that goes on at
	// another one.
	stillWorking = 400 * time.Millisecond
)

// goesOn checks that a stream whose answer is lost goes on at no other upstream while the one
// before still works on it.
func goesOn(r *run) error {
	interval := func(id string) time.Duration {
		if strings.HasPrefix(id, "long") {
			return longInterval
		}
		return warmEvent
	}
	var leaving sync.Once
	var chosen *upstream
	var mu sync.Mutex
	resets := func(u *upstream, id string, event int) bool {
		mu.Lock()
		defer mu.Unlock()
		return r.trouble && u == chosen && strings.HasPrefix(id, "long") && event == lostAfter
	}
	onWork := func(u *upstream, id string) {
		if !strings.HasPrefix(id, "long") {
			return
		}
		leaving.Do(func() {
			mu.Lock()
			chosen = u
			mu.Unlock()
			time.AfterFunc(longInterval, func() { u.drain(r) })
		})
	}
	newModel := func(id string) *upstream {
		return &upstream{id: id, service: "models", slots: 24, interval: interval, resets: resets, onWork: onWork}
	}
	a, b := newModel("i-a"), newModel("i-b")
	if err := r.deploy(3, configuration, a, b); err != nil {
		return err
	}
	for n := range warmStreams {
		got := r.send(r.hosts[n%len(r.hosts)], request{id: fmt.Sprintf("warm-%d", n), path: "/free/a", body: "warm"})
		if got.status != http.StatusOK || !got.whole {
			return fmt.Errorf("a stream before the disruption failed: %s", got)
		}
	}
	var callers sync.WaitGroup
	for n := range longStreams {
		callers.Go(func() {
			r.send(r.hosts[n%len(r.hosts)], request{id: fmt.Sprintf("long-%d", n), path: "/free/a", body: "long"})
		})
	}
	callers.Wait()
	time.Sleep(events * longInterval)
	mu.Lock()
	defer mu.Unlock()
	if chosen == nil {
		return errors.New("no long stream has run")
	}
	ran, lost := 0, 0
	for _, w := range chosen.works() {
		ran++
		if strings.HasPrefix(w.id, "long") && w.after == 0 {
			lost++
		}
	}
	r.record.printf("%s ran %d requests and loses the answers of %d", chosen.id, ran, lost)
	if lost*100 > ran*maxLostPercent {
		return errors.New("more answers are lost than the pages allow")
	}
	return r.checkOverlap(append(a.works(), b.works()...))
}

// checkOverlap looks for requests that ran at two upstreams at a time.
func (r *run) checkOverlap(all []work) error {
	var broken []string
	for _, before := range all {
		if !strings.HasPrefix(before.id, "long") {
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
