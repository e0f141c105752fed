package granter

import (
	"math"
	"time"
)

const (
	// programSeconds is the time at the rate that is saved up for programs beside the burst. With
	// 2 s, twice as many of the programs that begin at the onset of an overload fail midway.
	programSeconds = 1
	// spareFraction of the rate is not for programs that begin, if they have many requests. At
	// the whole rate, programs that have begun would meet an empty bucket whenever many of them
	// ask at once.
	spareFraction = 0.1
	// overdrawCost is what a refused request of a program that has begun costs.
	overdrawCost = 3
	// learnHalf is the time after which what was learned of programs counts half.
	learnHalf = 30 * time.Second
	// priorPrograms programs of priorRequests requests are assumed beside those counted.
	priorPrograms = 1
	priorRequests = 10
)

// programs is the bucket from which the beginnings of programs are paid, and the learned number
// of requests of a program.
type programs struct {
	perSecond, capacity, level float64
	at                         time.Duration
	begun                      bool
	// counted are the programs, and sent the requests, that the mean is learned from.
	counted, sent float64
}

// tick brings the bucket to now.
func (p *programs) tick(t Terms, perSecond float64, now time.Duration) {
	p.perSecond, p.capacity = perSecond*(1-p.spare()), t.Burst+programSeconds*perSecond
	if !p.begun {
		p.begun, p.at, p.level = true, now, p.capacity
	}
	elapsed := max(0, now-p.at)
	p.at = max(p.at, now)
	p.level = min(p.capacity, p.level+elapsed.Seconds()*p.perSecond)
	decay := math.Exp2(-elapsed.Seconds() / learnHalf.Seconds())
	p.counted *= decay
	p.sent *= decay
}

// spare returns the part of the rate that is not for programs that begin.
func (p *programs) spare() float64 {
	if p.counted < 1 {
		return 0
	}
	return spareFraction * (1 - 1/p.mean())
}

// learn counts programs that began without asking, and requests that were sent.
func (p *programs) learn(began, requests int) {
	p.sent += float64(requests)
	p.began(began)
}

// mean returns the number of requests of a program.
func (p *programs) mean() float64 {
	return max(1, (p.sent+priorRequests)/(p.counted+priorPrograms))
}

// cost returns the number of requests that a request of a kind brings with it.
func (p *programs) cost(kind Kind) float64 {
	if kind == Beginning {
		return p.mean()
	}
	return 1
}

// mayBegin reports whether a request may begin. If the home is short, there has to be credit for
// all the requests that it brings with it, or all that the bucket holds.
func (p *programs) mayBegin(kind Kind, short bool) bool {
	if !short {
		return !p.indebted()
	}
	return p.level >= min(p.cost(kind), p.capacity)
}

// indebted reports whether programs have begun that are not paid for.
func (p *programs) indebted() bool { return p.level < 0 }

// wait returns how long it takes until a request of a kind may begin.
func (p *programs) wait(kind Kind) time.Duration {
	return bucket{perSecond: p.perSecond}.until(p.level, min(p.cost(kind), p.capacity))
}

// overdraw counts refused requests of programs that have begun: too many programs run.
func (p *programs) overdraw(requests int) { p.pay(overdrawCost * float64(requests)) }

// begin pays for a request.
func (p *programs) begin(kind Kind) {
	if kind == Beginning {
		p.began(1)
		return
	}
	p.pay(1)
}

// began pays for programs that began.
func (p *programs) began(n int) {
	p.counted += float64(n)
	p.pay(float64(n) * p.mean())
}

// pay takes credits. The debt is bounded, as programs may begin without asking while the home is
// not short.
func (p *programs) pay(credits float64) { p.level = max(-p.capacity, p.level-credits) }
