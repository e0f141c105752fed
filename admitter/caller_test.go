package admitter_test

import (
	"fmt"
	"time"

	"github.com/citronpier/citronpier/admitter"
)

// kind is a kind of programs: a chain of turns, after the second of which sub-agents run, each
// with two turns.
type kind struct {
	name          string
	turns, agents int
	// perSecond is the number of programs that begin each second, and target their target
	// duration relative to the duration on idle engines.
	perSecond, target float64
}

// kinds send 69 and 31 turns a second.
var kinds = []kind{
	{name: "short", turns: 3, perSecond: 69.0 / 3, target: 1.4},
	{name: "long", turns: 5, agents: 2, perSecond: 31.0 / 9, target: 1.5},
}

const (
	// agentTurns is the number of turns of a sub-agent, and agentsAfter the turn after which
	// sub-agents run.
	agentTurns, agentsAfter = 2, 2
	// attempts is the number of times that a turn is sent before its program fails.
	attempts               = 3
	shortPause, pauseRange = 60 * time.Millisecond, 90 * time.Millisecond
	fullRetry              = 100 * time.Millisecond
)

// result is what the callers of a kind of programs got.
type result struct {
	programs int
	// inTime, late and tooLate programs ended within the target, within twice the target, and
	// after that. refused programs did not begin, and broken ones failed after they began.
	inTime, late, tooLate, refused, broken int
	// refusals counts the first turns that were refused.
	refusals int
	// longestWait is the longest time until the first turn of a program ran.
	longestWait time.Duration
}

// score is the mean value of a program: 1 within its target duration, half within twice that.
func (r result) score() float64 {
	return (float64(r.inTime) + float64(r.late)/2) / float64(max(1, r.programs))
}

// brokenShare is the share of the programs that failed after they began, of those that began.
func (r result) brokenShare() float64 {
	return float64(r.broken) / float64(max(1, r.programs-r.refused))
}

func (r result) add(o result) result {
	return result{
		r.programs + o.programs, r.inTime + o.inTime, r.late + o.late, r.tooLate + o.tooLate, r.refused + o.refused,
		r.broken + o.broken, r.refusals + o.refusals, max(r.longestWait, o.longestWait),
	}
}

func (r result) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, r.programs)) }
	return fmt.Sprintf("%d programs, score %.2f: in time %.2f late %.2f too late %.2f refused %.2f broken %.3f, %d refusals, longest wait %s", r.programs,
		r.score(), share(r.inTime), share(r.late), share(r.tooLate), share(r.refused), r.brokenShare(), r.refusals, r.longestWait.Round(time.Millisecond))
}

// program is one program of a caller.
type program struct {
	*simulation
	kind          kind
	result        *result
	id            string
	start, target time.Duration
	// home is the host that gets the first turn. Other turns go to any host.
	home          *host
	begun, failed bool
	// agents is the number of sub-agents that have not ended.
	agents int
}

// arrive begins a program and plans the next one.
func (s *simulation) arrive(k kind) {
	if s.now >= s.length {
		return
	}
	rate := k.perSecond
	if s.now >= s.from && s.now < s.to {
		rate *= s.users
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(k) })
	sequence := k.turns
	if k.agents > 0 {
		sequence += agentTurns
	}
	idle := time.Duration(sequence)*(readTime+events*s.token) + time.Duration(sequence-1)*(shortPause+pauseRange/2)
	s.ids++
	p := &program{
		simulation: s, kind: k, result: s.results[k.name], id: fmt.Sprint("program", s.ids), start: s.now,
		target: time.Duration(k.target * float64(idle)), home: s.hosts[s.random.IntN(hosts)],
	}
	p.result.programs++
	p.attempt(1, 1, false)
}

// attempt sends the nth turn of the program or of a sub-agent.
func (p *program) attempt(n, attempt int, agent bool) {
	if p.failed {
		return
	}
	first := n == 1 && !agent
	h := p.home
	if !first {
		h = p.hosts[p.random.IntN(hosts)]
	}
	if refused, ok := p.decide(h, first).(admitter.Refused); ok {
		p.result.refusals++
		p.again(n, attempt, agent, refused.Retry)
		return
	}
	if !p.send(h, p.kind.name, func() { p.ended(n, agent) }) {
		p.again(n, attempt, agent, fullRetry)
		return
	}
	if !p.begun {
		p.begun = true
		p.result.longestWait = max(p.result.longestWait, p.now-p.start)
	}
}

// decide asks the host whether a turn is admitted.
func (p *program) decide(h *host, first bool) admitter.Decision {
	if !p.admission {
		return admitter.Admitted{}
	}
	p.ids++
	return h.admitter.Decide(admitter.Request{
		ID: fmt.Sprint("request", p.ids), Program: p.id, Service: service, Route: p.kind.name, Begun: !first, TargetLeft: p.start + p.target - p.now,
	}, p.load(h), p.time())
}

// again repeats a turn that was refused, unless that was its last attempt.
func (p *program) again(n, attempt int, agent bool, after time.Duration) {
	switch {
	case attempt < attempts:
		p.after(after, func() { p.attempt(n, attempt+1, agent) })
	case p.begun:
		p.failed = true
		p.result.broken++
	default:
		p.failed = true
		p.result.refused++
	}
}

// ended goes on after a turn.
func (p *program) ended(n int, agent bool) {
	switch {
	case agent && n == agentTurns:
		p.agents--
		if p.agents == 0 {
			p.next(agentsAfter+1, false)
		}
	case !agent && n == agentsAfter && p.kind.agents > 0:
		p.agents = p.kind.agents
		for range p.kind.agents {
			p.next(1, true)
		}
	case !agent && n == p.kind.turns:
		p.finish()
	default:
		p.next(n+1, agent)
	}
}

// next sends a turn after a pause.
func (p *program) next(n int, agent bool) {
	p.after(shortPause+time.Duration(p.random.Int64N(int64(pauseRange))), func() { p.attempt(n, 1, agent) })
}

// finish counts a program that has ended.
func (p *program) finish() {
	switch took := p.now - p.start; {
	case took <= p.target:
		p.result.inTime++
	case took <= 2*p.target:
		p.result.late++
	default:
		p.result.tooLate++
	}
}
