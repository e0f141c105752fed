package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// thawFreeze is how long the host stands still.
	thawFreeze = 2 * time.Second
	// thawPrograms is the number of programs, and thawBudget the budget of each: two turns.
	thawPrograms = 60
	thawBudget   = 2 * turnTokens
	// thawPause is the pause before each event, so that a turn takes 2.9 s.
	thawPause = 90 * time.Millisecond
	// warmPrograms is the number of programs before the hosts are restarted once.
	warmPrograms = 120
)

// playThaw freezes a host while two sub-agents each of many programs begin.
func playThaw(d *deployment, trouble bool) (bool, error) {
	d.startStore(300*time.Second, fmt.Sprintf(chatRoutes, 1, false, true))
	for range 8 {
		if _, err := d.addUpstream("models", 24, func(u *upstream) {
			u.stream = func(body string) (int, time.Duration) {
				if body == warmBody {
					return 2, time.Millisecond
				}
				return turnTokens / tokensPerEvent, thawPause
			}
		}); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	if err := d.warm(); err != nil {
		return false, err
	}
	frozen := d.hosts[d.store.busiestWriter(d.warmRound)]
	time.Sleep(2 * time.Second)
	stoppedAt := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		d.record.say("host %d, which writes most to the store, stands still for %s", frozen.number, thawFreeze)
		time.AfterFunc(thawFreeze, func() {
			frozen.signal(syscall.SIGCONT)
			d.record.say("host %d goes on after %.3f s", frozen.number, time.Since(stoppedAt).Seconds())
		})
	}
	var all sync.WaitGroup
	tokens, answers := make([]int, thawPrograms), make([]int, thawPrograms)
	for n := range tokens {
		all.Go(func() {
			tokens[n], answers[n] = d.loop(fmt.Sprintf("looping%d", n), d.hosts[(frozen.number+1+n%2)%len(d.hosts)])
		})
	}
	all.Wait()
	over, most, answered := 0, 0, 0
	for n, got := range tokens {
		most = max(most, got)
		answered += answers[n]
		if got > thawBudget+turnTokens {
			over++
			d.record.say("OVER: program %d with a budget of %d got %d tokens; allowed are %d", n, thawBudget, got, thawBudget+turnTokens)
		}
	}
	d.record.say("%d programs with a budget of %d: %d turns answered whole, %d programs over the budget and a turn, the most is %d tokens", thawPrograms, thawBudget, answered, over, most)
	if answered == 0 {
		return false, fmt.Errorf("no turn was answered")
	}
	return over == 0, nil
}

// warmBody is the body of turns before the case.
const warmBody = "a short question"

// warm lets programs run, and then stops and starts each host once, as planned.
func (d *deployment) warm() error {
	d.warmRound()
	for _, h := range d.hosts {
		h.signal(syscall.SIGTERM)
		<-h.ended
		if err := d.start(h); err != nil {
			return err
		}
		if err := d.awaitReady(len(d.hosts)); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

// warmRound lets each of some programs take a turn.
func (d *deployment) warmRound() {
	var all sync.WaitGroup
	for n := range warmPrograms {
		all.Go(func() { d.programTurn(fmt.Sprintf("warm%d", n), warmBody, d.hosts[n%len(d.hosts)]) })
	}
	all.Wait()
}

// loop plays a program that begins with two sub-agents and then goes on until its budget is
// spent. It returns the tokens that the program got, and the turns that were answered whole.
func (d *deployment) loop(program string, h *host) (tokens, answered int) {
	var mu sync.Mutex
	turn := func() answer {
		a := d.programTurn(program, "go on", h)
		mu.Lock()
		defer mu.Unlock()
		tokens += a.events() * tokensPerEvent
		if a.whole && a.status == 200 {
			answered++
		}
		return a
	}
	var agents sync.WaitGroup
	agents.Go(func() { turn() })
	agents.Go(func() { turn() })
	agents.Wait()
	time.Sleep(2 * time.Second)
	for n, spent := 0, 0; n < maxBudgetTurns && spent < 2; n++ {
		if turn().status == 402 {
			spent++
		}
	}
	return tokens, answered
}

// programTurn sends a turn of a program with the budget thawBudget.
func (d *deployment) programTurn(program, body string, h *host) answer {
	return request{method: "POST", path: "/chat/1", body: body, timeLimit: 4 * time.Second, header: map[string]string{
		"Citronpier-Model": "m", "Citronpier-Token-Count": fmt.Sprintf("1460,%d", turnTokens), "Citronpier-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660",
		"Citronpier-Program-Id": program, "Citronpier-Session-Id": newID(),
		"Citronpier-Program-Deadline-Ms": "50000", "Citronpier-Token-Budget": fmt.Sprint(thawBudget),
	}}.send(d.record, h.front())
}
