package granter

import (
	"math"
	"time"
)

const (
	// advanceTime is the time for which a host holds credits in advance, and minAdvanceRate
	// the requests a second from which it holds any: credits that expire are lost.
	advanceTime    = 300 * time.Millisecond
	minAdvanceRate = 0.7
	// scarceTime is the time in which a host does not ask again for credits in advance that the
	// home did not give.
	scarceTime = 500 * time.Millisecond
	// demandTime is the time over which the requests a second are averaged.
	demandTime = 2 * time.Second
)

// Kind is what a request is to its program.
type Kind int

// The kinds of requests, and their number.
const (
	// Continuing is a request of a running program.
	Continuing Kind = iota
	// Beginning begins a program.
	Beginning
	// Single belongs to no program.
	Single
	Kinds
)

// Verdict is the answer of a pool to a request: Granted, Refused or Asked.
type Verdict interface{ verdict() }

// Granted means that the request may be sent. Credit is what it has spent.
type Granted struct{ Credit Credit }

// Refused means that the organisation is over its allowance. Retry is after how long credit is
// expected.
type Refused struct{ Retry time.Duration }

// Asked means that the home has to be asked.
type Asked struct{}

func (Granted) verdict() {}
func (Refused) verdict() {}
func (Asked) verdict()   {}

// Credit is the right to send one request. It may be put back until it expires. A request that has
// spent it must be sent before SendBy: after a pause, many would be sent at once.
type Credit struct{ Expires, SendBy time.Duration }

// lot is credits that expire together.
type lot struct {
	credits, beginnings int
	expires             time.Duration
}

// Pool holds the credits of one organisation on one host. The zero value is empty. It is not
// safe for concurrent use.
type Pool struct {
	terms Terms
	lots  []lot
	// demand is the requests a second, and arrived when the last one arrived.
	demand  float64
	arrived time.Duration
	// short is what the home last said of its bucket.
	short bool
	// refused is until when requests of each kind are refused.
	refused [Kinds]time.Duration
	// told is when the home last answered.
	told               time.Duration
	programs, requests int
	// asked is the number of credits that the last claim was for, and scarce is until when none
	// are asked for in advance without a waiting request, because the home gave fewer.
	asked  int
	scarce time.Duration
}

// Told returns when the home last answered; 0 if it never did.
func (p *Pool) Told() time.Duration { return p.told }

// Idle reports whether the pool has not been used for a time.
func (p *Pool) Idle(after, now time.Duration) bool { return now-p.arrived > after && p.Held(now) == 0 }

// Arrive counts a request under the terms in force. Credits of more generous terms are dropped.
func (p *Pool) Arrive(t Terms, now time.Duration) {
	if t != p.terms {
		if t.lowerThan(p.terms) {
			p.lots = p.lots[:0]
		}
		p.terms, p.refused = t, [Kinds]time.Duration{}
	}
	p.demand = p.rate(now) + 1/demandTime.Seconds()
	p.arrived = now
}

// rate returns the requests a second at now.
func (p *Pool) rate(now time.Duration) float64 {
	return p.demand * math.Exp(-(now-p.arrived).Seconds()/demandTime.Seconds())
}

// Take spends a credit for a request, or says what to do without one.
func (p *Pool) Take(kind Kind, now time.Duration) Verdict {
	if c, ok := p.Spend(kind, now); ok {
		return Granted{Credit: c}
	}
	if until := p.refused[kind]; now < until {
		return Refused{Retry: until - now}
	}
	return Asked{}
}

// Spend spends a credit for a request, if the pool has one.
func (p *Pool) Spend(kind Kind, now time.Duration) (Credit, bool) {
	p.expire(now)
	for i := range p.lots {
		l := &p.lots[i]
		switch {
		case kind != Continuing && l.beginnings > 0:
			l.beginnings--
		case l.credits > 0 && (kind == Continuing || !p.short):
			l.credits--
			if kind == Beginning {
				p.programs++
			}
		default:
			continue
		}
		if kind != Single {
			p.requests++
		}
		return Credit{Expires: l.expires, SendBy: now + Validity}, true
	}
	return Credit{}, false
}

// Return puts a credit back whose request was not sent.
func (p *Pool) Return(c Credit, now time.Duration) {
	if now >= c.Expires {
		return
	}
	p.add(lot{credits: 1, expires: c.Expires})
}

// add adds credits in the order of their expiry.
func (p *Pool) add(l lot) {
	for i := range p.lots {
		if p.lots[i].expires == l.expires {
			p.lots[i].credits += l.credits
			p.lots[i].beginnings += l.beginnings
			return
		}
	}
	at := len(p.lots)
	for at > 0 && p.lots[at-1].expires > l.expires {
		at--
	}
	p.lots = append(p.lots, lot{})
	copy(p.lots[at+1:], p.lots[at:])
	p.lots[at] = l
}

// expire drops credits that are spent or have expired.
func (p *Pool) expire(now time.Duration) {
	kept := p.lots[:0]
	for _, l := range p.lots {
		if l.expires > now && l.credits+l.beginnings > 0 {
			kept = append(kept, l)
		}
	}
	p.lots = kept
}

// Held returns the number of unspent credits.
func (p *Pool) Held(now time.Duration) int {
	held := 0
	for _, l := range p.lots {
		if l.expires > now {
			held += l.credits + l.beginnings
		}
	}
	return held
}

// Wanted returns the number of credits that the host should ask for in advance, or 0 if it
// holds enough.
func (p *Pool) Wanted(now time.Duration) int {
	perSecond := p.rate(now)
	if perSecond < minAdvanceRate || p.terms.slack() == 0 || now < p.refused[Continuing] {
		return 0
	}
	target := max(1, int(math.Round(perSecond*advanceTime.Seconds())))
	held := p.Held(now)
	if 2*held > target {
		return 0
	}
	return target - held
}

// Refill reports whether the host should ask for credits in advance while no request waits.
func (p *Pool) Refill(now time.Duration) bool { return now >= p.scarce && p.Wanted(now) > 0 }

// Claim returns the claim for the numbers of waiting requests of each kind.
func (p *Pool) Claim(waiting [Kinds]int, now time.Duration) Claim {
	c := Claim{
		Held: p.Held(now), Wanted: p.Wanted(now), Waiting: waiting,
		Programs: p.programs, Requests: p.requests,
	}
	p.programs, p.requests = 0, 0
	p.asked = c.Wanted + waiting[Continuing]
	return c
}

// Settle takes over the answer to a claim that was sent at the given time.
func (p *Pool) Settle(g Grant, sent, now time.Duration) {
	if g.Credits+g.Beginnings > 0 {
		p.add(lot{credits: g.Credits, beginnings: g.Beginnings, expires: sent + Validity})
	}
	p.short, p.told = g.Short, now
	if g.Credits < p.asked {
		p.scarce = now + scarceTime
	}
	for kind, retry := range g.Retry {
		p.refused[kind] = 0
		if retry > 0 {
			p.refused[kind] = now + retry
		}
	}
}
