package granter

import (
	"math"
	"time"
)

const (
	// programSeconds is the time at the rate that is saved up for programs beside the burst.
	programSeconds = 2
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
	p.perSecond, p.capacity = perSecond*(1-spareFraction*(1-1/p.mean())), t.Burst+programSeconds*perSecond
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

// learn counts programs that began without asking, and requests that were sent.
func (p *programs) learn(began, requests int) {
	p.sent += float64(requests)
	p.began(began)
}

// mean returns the number of requests of a program.
func (p *programs) mean() float64 {
	return max(1, (p.sent+priorRequests)/(p.counted+priorPrograms))
}

// mayBegin reports whether a program may begin. If the home is short, there has to be credit for
// all its requests, or all that the bucket holds.
func (p *programs) mayBegin(short bool) bool {
	if !short {
		return !p.indebted()
	}
	return p.level >= min(p.mean(), p.capacity)
}

// indebted reports whether programs have begun that are not paid for.
func (p *programs) indebted() bool { return p.level < 0 }

// wait returns how long it takes until a program may begin.
func (p *programs) wait() time.Duration {
	return bucket{perSecond: p.perSecond}.until(p.level, min(p.mean(), p.capacity))
}

// overdraw counts refused requests of programs that have begun: too many programs run.
func (p *programs) overdraw(requests int) {
	p.level = max(-p.capacity, p.level-overdrawCost*float64(requests))
}

// began pays for programs that began. The debt is bounded, as programs may begin without
// asking while the home is not short.
func (p *programs) began(n int) {
	p.counted += float64(n)
	p.level = max(-p.capacity, p.level-float64(n)*p.mean())
}
