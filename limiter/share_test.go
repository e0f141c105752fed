package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/citronpier/citronpier/limiter"
)

// fleet is a load on hosts that share the limit of one upstream and learn each other's demand
// late, as hosts of one data centre do.
type fleet struct {
	name  string
	hosts int
	// centres is the number of data centres: a host learns the demands of its own one only.
	centres int
	limit   float64
	// perSecond is the requests a second of all hosts together at a time after the start.
	perSecond func(at time.Duration) float64
	// busy is the part of the hosts at which all requests arrive.
	busy float64
	// least is the part of the requests, or of what the limit allows if that is less, that is
	// sent.
	least float64
}

const (
	simulated  = 40 * time.Second
	step       = 10 * time.Millisecond
	toldAfter  = 600 * time.Millisecond
	window     = 4 * time.Second
	longestTry = time.Second
	maxTries   = 2
)

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

var fleets = []fleet{
	{name: "7 hosts, flood", hosts: 7, centres: 1, limit: 3.8, perSecond: steady(30), busy: 1, least: 0.8},
	{name: "7 hosts, few requests", hosts: 7, centres: 1, limit: 3.8, perSecond: steady(2), busy: 1, least: 0.9},
	{name: "7 hosts, one busy", hosts: 7, centres: 1, limit: 3.8, perSecond: steady(20), busy: 0.1, least: 0.8},
	{name: "37 hosts, flood", hosts: 37, centres: 3, limit: 2, perSecond: steady(50), busy: 1, least: 0.4},
	{name: "140 hosts, flood", hosts: 140, centres: 5, limit: 3.8, perSecond: steady(300), busy: 1, least: 0.2},
	{name: "140 hosts, few requests", hosts: 140, centres: 5, limit: 3.8, perSecond: steady(1), busy: 1, least: 0.2},
	{name: "140 hosts, sudden flood", hosts: 140, centres: 5, limit: 3.8, busy: 1, least: 0.1, perSecond: func(at time.Duration) float64 {
		if at > simulated/2 {
			return 500
		}
		return 0.5
	}},
	{name: "140 hosts, few busy", hosts: 140, centres: 5, limit: 10, perSecond: steady(100), busy: 0.05, least: 0.4},
}

func TestSharesOfALimitExceedItTogether(t *testing.T) {
	for _, f := range fleets {
		t.Run(f.name, func(t *testing.T) {
			sent, arrived := f.run()
			for i := range sent {
				count := 0
				for _, at := range sent[i:] {
					if at-sent[i] < window {
						count++
					}
				}
				if allowed := int(1.5*f.limit*window.Seconds()) + 5; count > allowed {
					t.Fatalf("%d requests in %s from %s on, allowed %d", count, window, sent[i], allowed)
				}
			}
			owed := min(float64(arrived), f.limit*simulated.Seconds())
			t.Logf("%d of %d requests sent, %.0f owed", len(sent), arrived, owed)
			if float64(len(sent)) < f.least*owed {
				t.Errorf("%d of %d requests were sent, want %.0f at least", len(sent), arrived, f.least*owed)
			}
		})
	}
}

// call is a request that arrives at a host, at first or again.
type call struct{ host, tries int }

// run returns when requests were sent, in order, and how many arrived. A request that can't be
// sent within longestTry comes again, as callers do, at most maxTries times.
func (f fleet) run() (sent []time.Duration, arrived int) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	meters := make([]limiter.Meter, f.hosts)
	allowances := make([]limiter.Allowance, f.hosts)
	for i := range allowances {
		allowances[i] = limiter.NewAllowance(start)
	}
	told := make([]float64, f.hosts)
	due, again := make(map[time.Duration]int), make(map[time.Duration][]call)
	later := func(at, wait time.Duration) time.Duration { return (at + wait).Truncate(step) + step }
	for at := time.Duration(0); at < simulated; at += step {
		now := start.Add(at)
		if at%toldAfter == 0 {
			for i, m := range meters {
				told[i] = m.Rate(now)
			}
		}
		for range due[at] {
			sent = append(sent, at)
		}
		calls := again[at]
		for p := f.perSecond(at) * step.Seconds(); random.Float64() < p; p-- {
			arrived++
			calls = append(calls, call{host: f.anyHost(random)})
		}
		for _, c := range calls {
			meters[c.host] = meters[c.host].WithRequest(now)
			demand := f.demand(c.host, told)
			rate := demand.Rate("upstream", f.limit)
			wait := allowances[c.host].Wait(rate, now)
			switch {
			case wait <= longestTry:
				allowances[c.host] = allowances[c.host].WithRequest(rate, now)
				due[later(at, wait)]++
			case c.tries == maxTries:
			case demand.Untold(f.limit):
				again[later(at, toldAfter)] = append(again[later(at, toldAfter)], call{c.host, c.tries + 1})
			default:
				wait = min(wait, longestTry)
				again[later(at, wait)] = append(again[later(at, wait)], call{f.anyHost(random), c.tries + 1})
			}
		}
	}
	return sent, arrived
}

// anyHost returns one of the hosts at which requests arrive.
func (f fleet) anyHost(random *rand.Rand) int {
	return random.IntN(max(1, int(f.busy*float64(f.hosts))))
}

// demand returns what a host knows of the demands.
func (f fleet) demand(host int, told []float64) limiter.Demand {
	d := limiter.Demand{Self: fmt.Sprint(host), PerSecond: make(map[string]float64), Hosts: f.hosts}
	for i, perSecond := range told {
		if i%f.centres == host%f.centres {
			d.Telling++
			d.PerSecond[fmt.Sprint(i)] = perSecond
		}
	}
	return d
}
