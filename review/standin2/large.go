package main

import (
	"fmt"
	"time"
)

func init() { cases["large"] = playLarge }

const (
	// largeTurn is the size of the input of a large turn. It is within max_body_bytes.
	largeTurn = 3 << 20
	// largeTurns is the number of large turns, one after the other.
	largeTurns = 6
	// largePause is the time between two of them.
	largePause = 2 * time.Second
	// allowedCuts is the number of requests that the rule allows to be lost.
	allowedCuts = 3
)

// playLarge has one caller send turns that are kept, one after the other on a kept channel: a small
// one, and then large ones, or small ones only.
func playLarge(r *record, trouble bool) (verdict, error) {
	model := &upstream{id: "model-1", service: modelService, zone: "zone-a", slots: 24, events: 4, pause: 20 * time.Millisecond}
	d, err := newDeployment(hostSettings{hosts: 3, memoryMB: 354, descriptors: 12300, bounds: bounds()}, newStore(true), configuration(60), model)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	channel := &channel{address: d.hosts[0].front}
	defer channel.close()
	whole, lost := 0, 0
	for range largeTurns {
		// The small turn opens the channel, so that the large one is not the first request on it.
		if a := sendTurn(r, channel, model, 1<<10); a.status != 200 || !a.complete {
			return verdict{}, fmt.Errorf("a small turn was not answered whole: status %d, %v", a.status, a.err)
		}
		size := largeTurn
		if !trouble {
			size = 1 << 10
		}
		c := sendTurn(r, channel, model, size)
		switch {
		case c.status == 200 && c.complete:
			whole++
		case c.ran > 0 && !c.first && (c.status == 0 || c.status == 200):
			lost++
		}
		time.Sleep(largePause)
	}
	return verdict{lost > allowedCuts, fmt.Sprintf("%d of %d turns on a kept channel were run by a sound upstream and their channel closed without a whole answer; %d answered whole", lost, largeTurns, whole)}, nil
}

// turnAnswer is the answer to a turn, and how often an upstream ran it.
type turnAnswer struct {
	answer
	ran int
}

// sendTurn sends a turn that is kept and begins a program.
func sendTurn(r *record, c *channel, u *upstream, size int) turnAnswer {
	t := call{
		method: "POST", path: streamPrefix + "next", id: newID(), timeLimit: turnLimit, body: newText(size),
		header: map[string]string{
			"Citronpier-Program-Id": newID(), "Citronpier-Session-Id": newID(), "Citronpier-Program-Deadline-Ms": "12000",
			"Citronpier-Token-Budget": "4608", "Citronpier-Token-Count": "1840,128", "Citronpier-Model": "m",
		},
	}
	began := time.Now()
	a := c.send(t)
	ran := u.ran(t.id)
	r.printf("turn %s of %d bytes (first on its channel: %t): run %d times, status %d, %d bytes, whole %t, after %s, error %v",
		t.id, size, a.first, ran, a.status, a.bytes, a.complete, time.Since(began).Round(time.Millisecond), a.err)
	return turnAnswer{a, ran}
}
