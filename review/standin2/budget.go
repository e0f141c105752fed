package main

import (
	"fmt"
	"time"
)

func init() { cases["budget"] = playBudget }

const (
	// tokensPerEvent is the number of tokens that each event counts, as the configuration says.
	tokensPerEvent = 18
	// budget is the number of tokens that all turns of a program may generate.
	budget = 4608
	// budgetPrograms is the number of programs, one after the other, and budgetTurns the most turns
	// that a program tries.
	budgetPrograms = 3
	budgetTurns    = 200
)

// playBudget has programs send turn after turn until the system says that the budget is spent. The
// most that a turn generates is no multiple of the tokens of an event, or it is.
func playBudget(r *record, trouble bool) (verdict, error) {
	most := 5 * tokensPerEvent
	if trouble {
		most = 80
	}
	model := &upstream{id: "model-1", service: modelService, zone: "zone-a", slots: 24, events: (most + tokensPerEvent - 1) / tokensPerEvent, pause: 2 * time.Millisecond}
	d, err := newDeployment(hostSettings{hosts: 3, memoryMB: 354, descriptors: 12300, bounds: bounds()}, newStore(true), configuration(60), model)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	worst := 0
	for range budgetPrograms {
		tokens, err := spend(r, d, model, most)
		if err != nil {
			return verdict{}, err
		}
		worst = max(worst, tokens)
	}
	return verdict{worst > budget+most, fmt.Sprintf("a program with a budget of %d tokens and turns of %d at most was handed %d tokens", budget, most, worst)}, nil
}

// spend runs a program until its budget is spent, and returns the tokens that it was handed.
func spend(r *record, d *deployment, u *upstream, most int) (int, error) {
	program, tokens := newID(), 0
	for n := range budgetTurns {
		t := call{
			method: "POST", path: streamPrefix + "next", id: newID(), timeLimit: turnLimit, body: newText(200),
			header: map[string]string{
				"Citronpier-Program-Id": program, "Citronpier-Session-Id": program, "Citronpier-Program-Deadline-Ms": "60000",
				"Citronpier-Token-Budget": fmt.Sprint(budget), "Citronpier-Token-Count": fmt.Sprintf("1460,%d", most), "Citronpier-Model": "m",
			},
		}
		a := t.send(d.hosts[n%len(d.hosts)].front)
		if a.status == 402 {
			r.printf("program %s: turn %d is refused, the budget is spent; %d tokens were handed out", program, n+1, tokens)
			return tokens, nil
		}
		if a.status != 200 || !a.complete {
			return 0, fmt.Errorf("turn %d: status %d, %v", n+1, a.status, a.err)
		}
		tokens += u.events * tokensPerEvent
		r.printf("program %s: turn %s: run %d times, %d events", program, t.id, u.ran(t.id), u.events)
	}
	return 0, fmt.Errorf("the budget was not spent after %d turns", budgetTurns)
}
