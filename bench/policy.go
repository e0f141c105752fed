package main

import (
	"strings"
	"sync/atomic"

	"github.com/citronpier/citronpier"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/router"
	"github.com/citronpier/citronpier/scheduler"
)

// policy is one way to schedule.
type policy struct {
	name    string
	options func() []citronpier.Option
	rules   func(string) string
}

func same(rules string) string { return rules }

// withoutFloor takes the floor of ordinary work out of the rules.
func withoutFloor(rules string) string {
	var kept []string
	for _, line := range strings.Split(rules, "\n") {
		if !strings.HasPrefix(line, "floor") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

func options(p router.Policy, d scheduler.Discipline) func() []citronpier.Option {
	return func() []citronpier.Option {
		return []citronpier.Option{citronpier.WithRouting(p), citronpier.WithDiscipline(d)}
	}
}

func policies() []policy {
	return []policy{
		{"citronpier", options(router.LeastCost{}, scheduler.Fair{}), same},
		{"least", options(router.LeastLoaded{Turn: &atomic.Uint64{}}, scheduler.FirstCome{}), same},
		{"rr", options(router.RoundRobin{Turn: &atomic.Uint64{}}, scheduler.FirstCome{}), same},
		{"no-fair", options(router.LeastCost{}, scheduler.FirstCome{}), same},
		{"no-cache", options(router.LeastLoaded{Turn: &atomic.Uint64{}}, scheduler.Fair{}), same},
		{"no-floor", options(router.LeastCost{}, scheduler.Fair{}), withoutFloor},
	}
}

func policyByName(name string) (policy, bool) {
	for _, p := range policies() {
		if p.name == name {
			return p, true
		}
	}
	return policy{}, false
}

// rules is the rule file of all scenarios.
func rules() string {
	return strings.ReplaceAll(examples.Demo, "limit deepam", "# limit deepam")
}
