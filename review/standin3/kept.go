package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// frozen is how long the entry host stands still. The caller abandons a stream after a pause
	// of 2.4 s.
	frozen = 2200 * time.Millisecond
	// afterAnswer is how long after it had the whole answer the caller goes on: less than
	// the retention.
	afterAnswer = retention - 600*time.Millisecond
	// keptInterval is the time between two events of a kept turn.
	keptInterval = 30 * time.Millisecond
)

// keptTurn checks that a turn is kept for the retention from the end of its answer on, although
// its entry host stood still between the record of the turn and the end of the answer.
func keptTurn(r *run) error {
	model := &upstream{id: "i-model", service: "models", slots: 24, interval: func(string) time.Duration { return keptInterval }}
	if err := r.deploy(3, configuration, model); err != nil {
		return err
	}
	home, place, err := r.findHome(model)
	if err != nil {
		return err
	}
	entry := r.hosts[(home+1)%len(r.hosts)]
	r.record.printf("host %d is home of the program, host %d will serve the turn", home, entry.number)
	turn := request{id: "turn-1", path: "/kept/a", body: "input of turn 1\n", program: "program"}
	thawed := r.freezeAtRecord(model, turn.id, place, entry)
	first := r.send(entry, turn)
	r.store.setAfterAppend(nil)
	select {
	case <-thawed:
	case <-time.After(time.Second):
		return errors.New("the record of the turn was not seen")
	}
	if first.status != http.StatusOK || !first.whole {
		return fmt.Errorf("turn 1 was not answered whole: %s", first)
	}
	time.Sleep(time.Until(first.ended.Add(afterAnswer)))
	next := request{id: "turn-2", path: "/kept/a", body: "input of turn 2\n", program: "program", previous: turn.id}
	second := r.send(r.hosts[(home+2)%len(r.hosts)], next)
	r.record.printf("turn 1 was answered whole at %.3f, turn 2 was answered at %.3f, the retention is %s",
		r.record.since(first.ended), r.record.since(second.ended), retention)
	switch {
	case second.status == http.StatusNotFound || second.status == http.StatusGone:
		return &BrokenError{fmt.Sprintf("LOST: turn 2 got %d, %.3f s after turn 1 had been answered whole",
			second.status, second.ended.Sub(first.ended).Seconds())}
	case second.status != http.StatusOK:
		return fmt.Errorf("turn 2 got another answer: %s", second)
	}
	want := turn.body + outputOf(turn.id) + next.body
	for _, w := range model.works() {
		if w.id == next.id && w.body != want {
			return &BrokenError{fmt.Sprintf("UNASKED: turn 2 ran with the body %q", w.body)}
		}
	}
	return nil
}

// findHome sends a turn of the program and returns the host that records it, and the partition.
func (r *run) findHome(model *upstream) (home int, place appendCall, err error) {
	var mu sync.Mutex
	var found []appendCall
	r.store.setAfterAppend(func(c appendCall) {
		mu.Lock()
		defer mu.Unlock()
		if !strings.HasPrefix(c.topic, "keyed.") {
			found = append(found, c)
		}
	})
	a := r.send(r.hosts[0], request{id: "turn-0", path: "/kept/a", body: "input of turn 0\n", program: "program"})
	r.store.setAfterAppend(nil)
	if a.status != http.StatusOK || !a.whole || len(model.works()) != 1 {
		return 0, place, fmt.Errorf("turn 0 failed: %s", a)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(found) == 0 {
		return 0, place, errors.New("turn 0 was not recorded")
	}
	last := found[len(found)-1]
	return last.host, last, nil
}

// freezeAtRecord stops the process of an entry host once the turn's record is in the store, while
// the answer of the store is on its way to the home, and continues it later. The returned channel
// is closed then, or once the record was seen if there is no disruption.
func (r *run) freezeAtRecord(model *upstream, turn string, place appendCall, entry *host) <-chan struct{} {
	thawed := make(chan struct{})
	var once sync.Once
	r.store.setAfterAppend(func(c appendCall) {
		if _, ended := model.writtenAt(turn); !ended || c.topic != place.topic || c.part != place.part {
			return
		}
		once.Do(func() {
			r.record.printf("the record of %s is in the store (host %d, %s/%d)", turn, c.host, c.topic, c.part)
			if !r.trouble {
				close(thawed)
				return
			}
			r.signal(entry, syscall.SIGSTOP)
			time.AfterFunc(frozen, func() {
				r.signal(entry, syscall.SIGCONT)
				close(thawed)
			})
		})
	})
	return thawed
}
