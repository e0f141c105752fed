package admitter_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/admitter"
)

var start = time.Unix(1, 0)

// crowded is a load at which half of the time of turns is queueing.
var crowded = admitter.Load{InFlight: 100, Slots: 100}

// overloaded returns an Admitter of a host whose upstreams are overloaded, and the time.
func overloaded(load admitter.Load) (*admitter.Admitter, time.Time) {
	a := &admitter.Admitter{}
	now := start
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		a.ObserveStart("s", 0, true, now)
		a.ObserveEnd(admitter.Turn{Service: "s", Route: "r", Took: time.Second, Interval: 50 * time.Millisecond, Idle: true}, now)
	}
	for n := range 40 {
		now = now.Add(50 * time.Millisecond)
		a.ObserveStart("s", time.Second, false, now)
		a.Decide(admitter.Request{ID: fmt.Sprint("onset", n), Service: "s", Route: "r"}, load, now)
	}
	return a, now
}

// A turn of a program that is under way is refused, which loses the work that was done.
func TestTurnsOfProgramsUnderWayAreAdmitted(t *testing.T) {
	a, now := overloaded(crowded)
	if _, ok := a.Decide(admitter.Request{ID: "first", Service: "s", Route: "r"}, crowded, now).(admitter.Refused); !ok {
		t.Fatal("a first turn under overload was not refused")
	}
	for n := range 100 {
		r := admitter.Request{ID: fmt.Sprint("later", n), Program: fmt.Sprint("p", n), Service: "s", Route: "r", Begun: true}
		d, ok := a.Decide(r, crowded, now).(admitter.Admitted)
		if !ok || d.Reason != admitter.Begun {
			t.Fatalf("decision %+v", d)
		}
	}
}

// All first turns of a route are refused for as long as an overload lasts.
func TestRouteIsNotStarved(t *testing.T) {
	const bound = 5 * time.Second
	a, now := overloaded(crowded)
	last, longest := now, time.Duration(0)
	for n := range 600 {
		now = now.Add(50 * time.Millisecond)
		a.ObserveStart("s", time.Second, false, now)
		if _, ok := a.Decide(admitter.Request{ID: fmt.Sprint("n", n), Service: "s", Route: "r"}, crowded, now).(admitter.Admitted); ok {
			longest, last = max(longest, now.Sub(last)), now
		}
	}
	if longest == 0 || longest > bound+50*time.Millisecond {
		t.Errorf("longest time without an admitted first turn %s, want %s", longest, bound)
	}
}

// A caller that was refused loses to new ones when it returns.
func TestReturningCallerIsPreferred(t *testing.T) {
	half := admitter.Load{InFlight: 90, Slots: 100}
	a, now := overloaded(half)
	var first, second [2]int
	for n := range 2000 {
		now = now.Add(time.Millisecond)
		a.ObserveStart("s", 0, false, now)
		r := admitter.Request{ID: fmt.Sprint("n", n), Program: fmt.Sprint("p", n), Service: "s", Route: "r"}
		first[0]++
		if _, ok := a.Decide(r, half, now).(admitter.Admitted); ok {
			first[1]++
			continue
		}
		r.ID += "again"
		second[0]++
		if _, ok := a.Decide(r, half, now).(admitter.Admitted); ok {
			second[1]++
		}
	}
	shareFirst, shareSecond := float64(first[1])/float64(first[0]), float64(second[1])/float64(max(1, second[0]))
	if shareFirst > 0.9 || shareSecond < 1.1*shareFirst {
		t.Errorf("admitted %.2f of new callers and %.2f of returning ones", shareFirst, shareSecond)
	}
}

// A program that can't end within twice its target runs all the same, or callers that are
// refused together return together.
func TestHopelessProgramsAreRefusedWithSpreadRetries(t *testing.T) {
	a, now := overloaded(crowded)
	now = now.Add(6 * time.Second)
	retries := make(map[time.Duration]bool)
	for n := range 100 {
		r := admitter.Request{ID: fmt.Sprint("n", n), Program: fmt.Sprint("p", n), Service: "s", Route: "r", TargetLeft: time.Second}
		a.Decide(r, crowded, now)
		for range 4 {
			a.ObserveStart("s", 3*time.Second, false, now)
		}
		d, ok := a.Decide(r, crowded, now.Add(2*time.Second)).(admitter.Refused)
		if ok && d.Reason == admitter.Hopeless {
			retries[d.Retry] = true
		}
	}
	if len(retries) < 50 {
		t.Errorf("%d different times to return, want 50 at least", len(retries))
	}
}

// First turns are refused because the host itself was paused, though the upstreams have free
// slots.
func TestDelayOfHostIsNoOverload(t *testing.T) {
	idle := admitter.Load{InFlight: 15, Slots: 100}
	a, now := overloaded(idle)
	for n := range 100 {
		if d, ok := a.Decide(admitter.Request{ID: fmt.Sprint("n", n), Service: "s", Route: "r"}, idle, now).(admitter.Admitted); !ok {
			t.Fatalf("decision %+v", d)
		}
	}
}

// Requests of a host that are decided at the same time spoil each other's figures.
func TestConcurrentDecisions(t *testing.T) {
	a, now := overloaded(crowded)
	var requests sync.WaitGroup
	for n := range 8 {
		requests.Go(func() {
			for i := range 100 {
				r := admitter.Request{ID: fmt.Sprint(n, "/", i), Program: fmt.Sprint(i), Service: "s", Route: "r"}
				a.CountRequest(now)
				a.Decide(r, crowded, now)
				a.ObserveStart("s", time.Second, false, now)
				a.ObserveFull("s", now)
				a.ObserveEnd(admitter.Turn{Service: "s", Route: "r", Took: time.Second}, now)
				a.AllowRetry(false, now.Add(a.Bearable("s")))
			}
		})
	}
	requests.Wait()
}

// Retries of a host with few requests are refused, or those of an overload are not bounded.
func TestRetryBudget(t *testing.T) {
	a := &admitter.Admitter{}
	allowed := func(perSecond int) (count int) {
		now := start
		for range 10 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			a.CountRequest(now)
			if a.AllowRetry(true, now) {
				count++
			}
		}
		return count
	}
	few := allowed(3)
	a = &admitter.Admitter{}
	many := allowed(100)
	if diff := cmp.Diff([]bool{true, true}, []bool{few == 30, many >= 450 && many <= 550}); diff != "" {
		t.Errorf("%d of 30 and %d of 1,000 retries allowed (-want +got):\n%s", few, many, diff)
	}
}

func BenchmarkDecide(b *testing.B) {
	a, now := overloaded(crowded)
	for n := range 1000 {
		a.Decide(admitter.Request{ID: fmt.Sprint("n", n), Program: fmt.Sprint("p", n), Service: "s", Route: "r"}, crowded, now)
	}
	r := admitter.Request{ID: "id", Program: "p1", Service: "s", Route: "r", TargetLeft: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		a.Decide(r, crowded, now)
	}
}
