package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/scheduler"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drain pops all items and returns their names in the order of service.
func drain(q *scheduler.Queue, name func(*scheduler.Item) string) []string {
	var names []string
	for i := q.Pop(); i != nil; i = q.Pop() {
		names = append(names, name(i))
	}
	return names
}

func byOrganisation(i *scheduler.Item) string { return i.Organisation }

func TestUrgentFirst(t *testing.T) {
	var q scheduler.Queue
	q.Push(&scheduler.Item{Organisation: "a", Queued: start})
	q.Push(&scheduler.Item{Organisation: "b", Rank: descriptor.Urgent, Queued: start})
	if diff := cmp.Diff([]string{"b", "a"}, drain(&q, byOrganisation)); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// While calls of both ranks wait, ordinary calls receive at least their floor,
// minus at most the cost of one call.
func TestOrdinaryKeepsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.Queue{Floor: rapid.IntRange(0, 50).Draw(t, "floor")}
		var served [2]int64
		var largest int64
		for range 500 {
			cost := rapid.Int64Range(1, 20).Draw(t, "cost")
			largest = max(largest, cost)
			for _, rank := range descriptor.Ranks() {
				q.Push(&scheduler.Item{Rank: rank, Cost: cost, Queued: start})
			}
			i := q.Pop()
			served[i.Rank] += i.Cost
		}
		total := served[0] + served[1]
		if withSlack := served[descriptor.Ordinary] + largest; withSlack*100 < int64(q.Floor)*total {
			t.Errorf("ordinary calls received %d of %d tokens at a floor of %d percent", served[0], total, q.Floor)
		}
	})
}

// Organisations that always have waiting calls share the service by weight. The
// service of two organisations, divided by weight, may differ by up to the largest
// cost of one call of each: 9 + 9.
func TestFairByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q scheduler.Queue
		weights := map[string]int{"a": rapid.IntRange(1, 4).Draw(t, "a"), "b": rapid.IntRange(1, 4).Draw(t, "b")}
		for organisation, weight := range weights {
			for range 400 {
				q.Push(&scheduler.Item{
					Organisation: organisation, Weight: weight, Queued: start,
					Cost: rapid.Int64Range(1, 9).Draw(t, "cost"),
				})
			}
		}
		served := map[string]float64{}
		for range 300 {
			i := q.Pop()
			served[i.Organisation] += float64(i.Cost) / float64(i.Weight)
		}
		if difference := served["a"] - served["b"]; difference > 18 || difference < -18 {
			t.Errorf("service divided by weight differs by more than 18: %v", served)
		}
	})
}

func TestLeastServedWithAgeing(t *testing.T) {
	var q scheduler.Queue
	q.Push(&scheduler.Item{Organisation: "o", Served: 5000, Queued: start})
	q.Push(&scheduler.Item{Organisation: "o", Served: 100, Queued: start.Add(time.Second)})
	q.Push(&scheduler.Item{Organisation: "o", Served: 100, Queued: start.Add(time.Minute)})
	got := drain(&q, func(i *scheduler.Item) string { return i.Queued.Sub(start).String() })
	// One second of waiting offsets 200 served tokens, so 25 s offset 5,000. The
	// call that arrives after 1 s comes before the call with 5,000 served tokens,
	// and the call that arrives after 60 s comes after it.
	if diff := cmp.Diff([]string{"1s", "0s", "1m0s"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// After any sequence of Push, Pop and Remove, no call is lost or returned twice.
func TestNothingLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q scheduler.Queue
		var waiting []*scheduler.Item
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				i := &scheduler.Item{
					Rank:         rapid.SampledFrom(descriptor.Ranks()).Draw(t, "rank"),
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Served:       rapid.Int64Range(0, 100).Draw(t, "served"),
					Queued:       start,
				}
				q.Push(i)
				waiting = append(waiting, i)
			},
			"pop": func(t *rapid.T) {
				i := q.Pop()
				at := slices.Index(waiting, i)
				if (i == nil) != (len(waiting) == 0) || (i != nil && at < 0) {
					t.Fatalf("popped %v, which is not one of the %d waiting calls", i, len(waiting))
				}
				if at >= 0 {
					waiting = slices.Delete(waiting, at, at+1)
				}
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				at := rapid.IntRange(0, len(waiting)-1).Draw(t, "at")
				if !q.Remove(waiting[at]) || q.Remove(waiting[at]) {
					t.Fatal("Remove must return true for a waiting call and false the second time")
				}
				waiting = slices.Delete(waiting, at, at+1)
			},
			"": func(t *rapid.T) {
				if diff := cmp.Diff(len(waiting), q.Len()); diff != "" {
					t.Fatalf("length (-want +got):\n%s", diff)
				}
			},
		})
	})
}

// An organisation that sends one call at a time (sparse) waits for at most one other
// call, even if another organisation (flood) always has many waiting calls.
func TestSparseBesideFlood(t *testing.T) {
	var q scheduler.Queue
	for range 64 {
		q.Push(&scheduler.Item{Organisation: "flood", Weight: 2, Cost: 32, Queued: start})
	}
	longest := 0
	for round := range 40 {
		sparse := &scheduler.Item{Organisation: "sparse", Weight: 1, Cost: 32, Queued: start}
		q.Push(sparse)
		for pops := 1; ; pops++ {
			i := q.Pop()
			if i == sparse {
				longest = max(longest, pops)
				break
			}
			q.Push(&scheduler.Item{Organisation: "flood", Weight: 2, Cost: 32, Queued: start})
		}
		for range 3 + round%3 {
			q.Pop()
			q.Push(&scheduler.Item{Organisation: "flood", Weight: 2, Cost: 32, Queued: start})
		}
	}
	if longest > 2 {
		t.Errorf("a call of the sparse organisation was served only at pop %d", longest)
	}
}
