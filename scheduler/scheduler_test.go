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

// drain pops everything and names it by a function of the item.
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

// While both ranks wait, ordinary work keeps its floor to within one call.
func TestOrdinaryKeepsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scheduler.Queue{Floor: rapid.IntRange(0, 50).Draw(t, "floor")}
		var given [2]int64
		var largest int64
		for range 500 {
			cost := rapid.Int64Range(1, 20).Draw(t, "cost")
			largest = max(largest, cost)
			for _, rank := range descriptor.Ranks() {
				q.Push(&scheduler.Item{Rank: rank, Cost: cost, Queued: start})
			}
			i := q.Pop()
			given[i.Rank] += i.Cost
		}
		total := given[0] + given[1]
		if kept := given[descriptor.Ordinary] + largest; kept*100 < int64(q.Floor)*total {
			t.Errorf("ordinary work had %d of %d at a floor of %d", given[0], total, q.Floor)
		}
	})
}

// Backlogged organisations share by weight, to within one call of each.
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
		if gap := served["a"] - served["b"]; gap > 18 || gap < -18 {
			t.Errorf("served by weight: %v", served)
		}
	})
}

func TestLeastServedWithAgeing(t *testing.T) {
	var q scheduler.Queue
	q.Push(&scheduler.Item{Organisation: "o", Served: 5000, Queued: start})
	q.Push(&scheduler.Item{Organisation: "o", Served: 100, Queued: start.Add(time.Second)})
	q.Push(&scheduler.Item{Organisation: "o", Served: 100, Queued: start.Add(time.Minute)})
	got := drain(&q, func(i *scheduler.Item) string { return i.Queued.Sub(start).String() })
	// After 25 s of waiting, 5,000 tokens served weigh no more than none.
	if diff := cmp.Diff([]string{"1s", "0s", "1m0s"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Whatever is pushed, popped and removed, nothing is lost and nothing doubled.
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
					t.Fatalf("popped %v of %d", i, len(waiting))
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
					t.Fatal("remove")
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

// An organisation that sends little is served soon while another floods.
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
		t.Errorf("a sparse call waited for %d others", longest)
	}
}
