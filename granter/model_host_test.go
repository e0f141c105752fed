package granter_test

import (
	"fmt"
	"time"

	"github.com/citronpier/citronpier/granter"
)

// message is a request for credits.
type message struct {
	from            int
	claim           granter.Claim
	forced, relayed bool
}

// answer is the reply to a message; elsewhere means that nobody answered as home.
type answer struct {
	grant     granter.Grant
	elsewhere bool
}

// serve handles a request of a caller.
func (h *host) serve(r *request) {
	r.deadline = h.now + requestTimeout
	h.pool.Arrive(h.terms, h.now)
	h.try(r)
}

// try decides a request, or makes it wait for the home.
func (h *host) try(r *request) {
	v := h.pool.Take(r.kind, h.now)
	if h.unlimited {
		v = granter.Granted{}
	}
	switch v.(type) {
	case granter.Granted:
		h.sent = append(h.sent, h.now)
		h.end(r, v)
		h.refill()
	case granter.Refused:
		h.end(r, v)
	default:
		if h.now >= r.deadline {
			h.end(r, nil)
			return
		}
		h.waiting = append(h.waiting, r)
		h.after(r.deadline-h.now, func() { h.expire(r) })
		h.call()
	}
}

func (h *host) end(r *request, v granter.Verdict) {
	r.over = true
	r.done(v)
}

// expire ends a request that has waited for too long.
func (h *host) expire(r *request) {
	if r.over {
		return
	}
	for i, w := range h.waiting {
		if w == r {
			h.waiting = append(h.waiting[:i:i], h.waiting[i+1:]...)
			break
		}
	}
	h.end(r, nil)
}

// refill asks for credits in advance.
func (h *host) refill() {
	if !h.pool.Refill(h.now) || h.calling {
		return
	}
	if gap := h.called + refillGap - h.now; gap > 0 {
		h.after(gap, func() {
			if !h.calling && h.pool.Refill(h.now) {
				h.call()
			}
		})
		return
	}
	h.call()
}

// call asks the first host that is not suspected.
func (h *host) call() {
	if h.calling {
		return
	}
	h.calling, h.called = true, h.now
	var waiting [granter.Kinds]int
	for _, r := range h.waiting {
		waiting[r.kind]++
	}
	c := h.pool.Claim(waiting, h.now)
	h.number++
	number := h.number
	c.Host, c.Run, c.Number = fmt.Sprint(h.id), fmt.Sprint(h.run), number
	to, sent := h.ranked()[0], h.now
	m := message{from: h.id, claim: c, forced: to != h.first()}
	h.after(callTimeout, func() {
		if h.calling && h.number == number {
			h.settle(to, sent, answer{elsewhere: true})
		}
	})
	reply := func(a answer) {
		if h.calling && h.number == number {
			h.settle(to, sent, a)
		}
	}
	if to == h.id {
		h.answer(m, reply)
		return
	}
	h.post(h.id, to, func(other *host) {
		other.answer(m, func(a answer) { h.post(other.id, h.id, func(*host) { reply(a) }) })
	})
}

// answer answers a request for credits, or passes it on to the home.
func (h *host) answer(m message, reply func(answer)) {
	if h.standing().Home {
		h.grant(m, reply)
		return
	}
	home := h.first()
	failed := func() {
		if m.forced {
			h.grant(m, reply)
			return
		}
		reply(answer{elsewhere: true})
	}
	switch {
	case m.relayed:
		reply(answer{elsewhere: true})
		return
	case h.suspects[home] > h.now || home == m.from:
		failed()
		return
	}
	answered := false
	once := func(a answer) {
		if answered {
			return
		}
		answered = true
		if a.elsewhere {
			failed()
			return
		}
		reply(a)
	}
	h.after(relayTimeout, func() {
		if !answered {
			h.suspects[home] = h.now + relaySuspicion
			once(answer{elsewhere: true})
		}
	})
	m.relayed = true
	h.post(h.id, home, func(other *host) {
		other.answer(m, func(a answer) { h.post(other.id, h.id, func(*host) { once(a) }) })
	})
}

func (h *host) grant(m message, reply func(answer)) {
	h.continuity = h.continuity.WithTick(h.now)
	if g, ok := h.home.Claim(m.claim, h.terms, h.standing(), h.now); ok {
		reply(answer{grant: g})
	}
}

// settle takes over the answer to a call and decides the waiting requests.
func (h *host) settle(to int, sent time.Duration, a answer) {
	h.calling = false
	if a.elsewhere {
		if to != h.id {
			h.suspects[to] = h.now + suspicion
		}
	} else {
		h.pool.Settle(a.grant, sent, h.now)
	}
	waiting := h.waiting
	h.waiting = nil
	for _, r := range waiting {
		if !r.over {
			h.try(r)
		}
	}
}
