package main

import (
	"fmt"
	"net/http"
	"strings"
)

const (
	// partBudget is the budget of the program, and partMost the most tokens of a turn. They are those
	// of the examples; partMost is four events and a part of one.
	partBudget = 4608
	partMost   = 80
	// wholeMost is the most tokens of a turn without the part of an event.
	wholeMost = 72
	// maxTurns is more turns than the budget has room for.
	maxTurns = 100
)

// partOfEvent checks that a program whose turns end with a part of an event keeps to its budget.
func partOfEvent(r *run) error {
	model := &upstream{id: "i-model", service: "models", slots: 24}
	if err := r.deploy(3, configuration, model); err != nil {
		return err
	}
	most := wholeMost
	if r.trouble {
		most = partMost
	}
	handed := 0
	for n := range maxTurns {
		q := request{
			id: fmt.Sprintf("turn-%d", n), path: "/free/a", body: "input", program: "program", most: most, budget: partBudget,
		}
		a := r.send(r.hosts[n%len(r.hosts)], q)
		handed += strings.Count(a.body, "data: ") * tokensPerEvent
		if a.status == http.StatusPaymentRequired {
			break
		}
		if a.status != http.StatusOK || !a.whole {
			return fmt.Errorf("turn %d failed: %s", n, a)
		}
	}
	r.record.printf("handed %d tokens, the budget is %d, the most of one turn %d", handed, partBudget, most)
	if handed > partBudget+most {
		return &BrokenError{fmt.Sprintf("BUDGET: the program was handed %d tokens, %d are allowed", handed, partBudget+most)}
	}
	return nil
}
