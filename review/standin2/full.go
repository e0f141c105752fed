package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["full"] = playFull }

const (
	// fillTime is how long callers send turns, at most, and watchTime how long they go on once the
	// store is full.
	fillTime  = 90 * time.Second
	watchTime = 15 * time.Second
	// fullTurnBytes is the size of the input of a turn, and turnsPerSecond how many turns begin.
	fullTurnBytes  = 96 << 10
	turnsPerSecond = 80
	// turnRetention is for how many seconds the configuration has turns kept.
	turnRetention = 20
	// turnsOfProgram is the number of turns of a program, one after the other.
	turnsOfProgram = 3
	// turnLimit is the time limit of a turn.
	turnLimit = 4 * time.Second
	// allowedLosses is the number of requests that the rule allows to be lost.
	allowedLosses = 3
)

// turns counts what became of the turns of all programs.
type turns struct {
	record    *record
	upstreams []*upstream
	hosts     []*host

	mu sync.Mutex
	// turnBytes is the size of the input of a turn.
	turnBytes int
	// newest has the ids of the turns that were answered whole, with the time.
	newest []wholeTurn
	// idle has the channels on which no program runs.
	idle []*channel
	// whole counts the turns that were answered whole, and refused those with a status other than
	// 200. lost counts those that an upstream ran and whose channel closed without a whole answer,
	// on channels that had been used before, and lostFirst on new ones.
	whole, refused, lost, lostFirst, notRun int
}

// wholeTurn is a turn that was answered whole.
type wholeTurn struct {
	id string
	at time.Time
}

// take returns a channel that no program uses.
func (t *turns) take() *channel {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle) == 0 {
		return &channel{address: t.hosts[rand.IntN(len(t.hosts))].front}
	}
	c := t.idle[len(t.idle)-1]
	t.idle = t.idle[:len(t.idle)-1]
	return c
}

// put gives a channel back.
func (t *turns) put(c *channel) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, c)
}

// playFull has programs send turns at an even rate until the store has received as many bytes as
// it holds.
func playFull(r *record, trouble bool) (verdict, error) {
	var models []*upstream
	for i := range 4 {
		models = append(models, &upstream{id: fmt.Sprintf("model-%d", i+1), service: modelService, zone: "zone-a", slots: 64, events: 4, pause: 20 * time.Millisecond})
	}
	st := newStore(trouble)
	d, err := newDeployment(hostSettings{hosts: 7, memoryMB: 354, descriptors: 12300, bounds: bounds()}, st, configuration(turnRetention), models...)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	t := &turns{record: r, upstreams: models, hosts: d.hosts, turnBytes: fullTurnBytes}
	t.play(st)
	held, refused, _ := st.fill()
	r.printf("turns: %d answered whole, %d refused; run and closed without a whole answer: %d on used channels, %d on new ones; %d failed otherwise",
		t.whole, t.refused, t.lost, t.lostFirst, t.notRun)
	r.printf("store: %d bytes held, %d appends refused because it is full", held, refused)
	for i, h := range d.hosts {
		r.printf("host %d: alive %t, ready %t", i+1, h.alive(), h.isReady())
	}
	return verdict{t.lost > allowedLosses, fmt.Sprintf("%d turns on kept channels (and %d on new ones) were run by a sound upstream and their channels closed without a whole answer; %d answered whole, %d refused",
		t.lost, t.lostFirst, t.whole, t.refused)}, nil
}

// play sends turns until watchTime after the store has become full, or for fillTime.
func (t *turns) play(st *store) {
	ctx, cancel := context.WithTimeout(context.Background(), fillTime)
	defer cancel()
	var programs sync.WaitGroup
	defer programs.Wait()
	pace := time.NewTicker(time.Second * turnsOfProgram / turnsPerSecond)
	defer pace.Stop()
	reported := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pace.C:
			programs.Go(t.program)
		}
		held, refused, since := st.fill()
		if refused > 0 && time.Since(since) > watchTime {
			return
		}
		if time.Since(reported) > 5*time.Second {
			reported = time.Now()
			t.mu.Lock()
			t.record.printf("store holds %d MB; turns: %d whole, %d refused, %d lost, %d failed otherwise", held/1e6, t.whole, t.refused, t.lost+t.lostFirst, t.notRun)
			t.mu.Unlock()
		}
	}
}

// program runs a program, turn after turn, until one fails.
func (t *turns) program() {
	channel := t.take()
	defer t.put(channel)
	program, previous := newID(), ""
	for range turnsOfProgram {
		c := call{
			method: "POST", path: streamPrefix + "next", id: newID(), timeLimit: turnLimit, body: newText(t.turnBytes),
			header: map[string]string{
				"Citronpier-Program-Id": program, "Citronpier-Session-Id": program, "Citronpier-Program-Deadline-Ms": "12000",
				"Citronpier-Token-Budget": "4608", "Citronpier-Token-Count": "1840,128", "Citronpier-Model": "m",
			},
		}
		if previous != "" {
			c.header["Citronpier-Previous-Turn"] = previous
		}
		a := channel.send(c)
		if !t.count(c, a) {
			return
		}
		previous = c.id
	}
}

// newText returns random letters and digits.
func newText(size int) []byte {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789 ."
	text := make([]byte, size)
	for i := range text {
		text[i] = letters[rand.IntN(len(letters))]
	}
	return text
}

// count counts a turn, and reports whether it was answered whole.
func (t *turns) count(c call, a answer) bool {
	ran := 0
	for _, u := range t.upstreams {
		ran += u.ran(c.id)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.status == 200 && a.complete:
		t.whole++
		t.newest = append(t.newest, wholeTurn{id: c.id, at: time.Now()})
		return true
	case a.status != 200 && a.status != 0:
		t.refused++
	case ran > 0:
		if a.first {
			t.lostFirst++
		} else {
			t.lost++
		}
		t.record.printf("turn %s (first on its channel: %t): run %d times, status %d, %d bytes, then: %v", c.id, a.first, ran, a.status, a.bytes, a.err)
		return false
	default:
		t.notRun++
	}
	t.record.printf("turn %s: run %d times, status %d, error %v", c.id, ran, a.status, a.err)
	return false
}
