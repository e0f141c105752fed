package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	tokensPerEvent = 18
	// turnTokens is the most that a turn generates, and programBudget the budget of the
	// program: both as in the example of the pages.
	turnTokens    = 576
	programBudget = 4608
	// budgetPause is how long the program stops before it returns: shorter than the 60 s
	// of retention_s.
	budgetPause = 22 * time.Second
	// downTime is how long the killed host is down, from the kill to its start: within the
	// 3.5 s of the site file.
	downTime = 3400 * time.Millisecond
	// maxBudgetTurns bounds the turns of the program.
	maxBudgetTurns = 20
)

// playBudget kills the host that last wrote to the store under a condition, while two
// sub-agents of a program that has returned are running.
func playBudget(d *deployment, trouble bool) (bool, error) {
	d.startStore(history, fmt.Sprintf(chatRoutes, 1, false, true))
	for range 2 {
		if _, err := d.addUpstream("models", 24, func(u *upstream) { u.stream = streamOf(turnTokens/tokensPerEvent, 60*time.Millisecond) }); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	tokens := 0
	count := func(a answer) { tokens += a.events() * tokensPerEvent }
	first := d.turn(1, "", d.hosts[0])
	count(first)
	if first.status != 200 || !first.whole {
		return false, fmt.Errorf("the first turn failed: %s", first.text())
	}
	d.record.say("the first turn is answered; the program stops for %s", budgetPause)
	time.Sleep(budgetPause)
	writer := d.store.lastWriter()
	if writer < 0 {
		return false, fmt.Errorf("no host has written to the store")
	}
	entry := d.hosts[(writer+1)%len(d.hosts)]
	var both sync.WaitGroup
	var agents [2]answer
	for n := range agents {
		both.Go(func() { agents[n] = d.turn(1, "", entry) })
	}
	time.Sleep(time.Second)
	killedAt := time.Now()
	if trouble {
		d.hosts[writer].signal(syscall.SIGKILL)
		d.record.say("SIGKILL to host %d, which wrote to the store last", writer)
	}
	both.Wait()
	for _, a := range agents {
		count(a)
	}
	d.record.say("two sub-agents got %d and %d tokens", agents[0].events()*tokensPerEvent, agents[1].events()*tokensPerEvent)
	time.Sleep(time.Until(killedAt.Add(downTime)))
	if trouble {
		if err := d.start(d.hosts[writer]); err != nil {
			return false, err
		}
		d.record.say("host %d is started again, %.3f s after the kill", writer, time.Since(killedAt).Seconds())
	}
	time.Sleep(3 * time.Second)
	spent := 0
	for n := 0; n < maxBudgetTurns && spent < 2; n++ {
		a := d.turn(1, "", entry)
		count(a)
		if a.status == 402 {
			spent++
		}
	}
	d.record.say("the program with a budget of %d got %d tokens; allowed are %d", programBudget, tokens, programBudget+turnTokens)
	return tokens <= programBudget+turnTokens, nil
}
