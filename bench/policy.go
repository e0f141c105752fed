package main

import (
	"strings"
	"sync/atomic"

	"github.com/citronpier/citronpier"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/router"
	"github.com/citronpier/citronpier/scheduler"
)

// policy is a way to route calls to upstreams and to order the calls that wait.
type policy struct {
	name string
	// options returns the host options that select the policy.
	options func() []citronpier.Option
	// rules changes the text of the rule file to suit the policy.
	rules func(string) string
}

func unchangedRules(rules string) string { return rules }

// withoutFloor removes the floor rule from a rule file. The floor is the share
// of capacity that ordinary calls keep when there is urgent work.
func withoutFloor(rules string) string {
	var remaining []string
	for _, line := range strings.Split(rules, "\n") {
		if !strings.HasPrefix(line, "floor") {
			remaining = append(remaining, line)
		}
	}
	return strings.Join(remaining, "\n")
}

// withScheduling returns a function that makes the host options for a routing
// policy and a queue discipline.
func withScheduling(p router.Policy, d scheduler.Discipline) func() []citronpier.Option {
	return func() []citronpier.Option {
		return []citronpier.Option{citronpier.WithRouting(p), citronpier.WithDiscipline(d)}
	}
}

// policies returns the system's own policy (citronpier), two plain baselines
// (least: least-loaded upstream, FIFO queue; rr: round-robin, FIFO queue), and
// variants of citronpier with one mechanism replaced: no-fair has FIFO queues,
// no-cache ignores which upstream caches a prompt, no-floor has no floor rule.
func policies() []policy {
	return []policy{
		{"citronpier", withScheduling(router.LeastCost{}, scheduler.Fair{}), unchangedRules},
		{"least", withScheduling(router.LeastLoaded{Counter: &atomic.Uint64{}}, scheduler.FirstCome{}), unchangedRules},
		{"rr", withScheduling(router.RoundRobin{Counter: &atomic.Uint64{}}, scheduler.FirstCome{}), unchangedRules},
		{"no-fair", withScheduling(router.LeastCost{}, scheduler.FirstCome{}), unchangedRules},
		{"no-cache", withScheduling(router.LeastLoaded{Counter: &atomic.Uint64{}}, scheduler.Fair{}), unchangedRules},
		{"no-floor", withScheduling(router.LeastCost{}, scheduler.Fair{}), withoutFloor},
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

// ruleFile returns the rule file of all scenarios: the rule file of the demo with
// the limits of the organisation deepam commented out, so that the limits refuse
// no part of the load.
func ruleFile() string {
	return strings.ReplaceAll(examples.Demo, "limit deepam", "# limit deepam")
}
