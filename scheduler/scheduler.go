package scheduler

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// A Queue holds the calls that wait for one upstream. The zero value is an
// empty queue without a floor.
type Queue struct {
	// Floor is the share in percent of the service that ordinary work keeps
	// while both ranks wait.
	Floor int
	// Discipline is the order of service; nil is Fair.
	Discipline Discipline

	classes [2]class
	// given is the service in tokens that each rank had since both wait.
	given [2]float64
	epoch time.Time
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.classes[0].length + q.classes[1].length }

// Waiting returns the number of waiting calls of a rank.
func (q *Queue) Waiting(rank descriptor.Rank) int { return q.classes[rank].length }

// WaitingOf returns the number of waiting calls of an organisation in a rank.
func (q *Queue) WaitingOf(rank descriptor.Rank, organisation string) int {
	if f, ok := q.classes[rank].flows[organisation]; ok {
		return f.items.Len()
	}
	return 0
}

// Organisations returns the number of organisations that wait in a rank.
func (q *Queue) Organisations(rank descriptor.Rank) int { return q.classes[rank].waiting.Len() }

// Push adds a call.
func (q *Queue) Push(i *Item) {
	if q.epoch.IsZero() {
		q.epoch = i.Queued
	}
	i.key = i.place(q.epoch)
	if _, plain := q.Discipline.(FirstCome); plain {
		i.flatten(q.epoch)
	}
	q.classes[i.Rank].push(i)
}

// Pop removes and returns the call to serve next, or nil.
func (q *Queue) Pop() *Item {
	rank, ok := q.next()
	if !ok {
		return nil
	}
	i := q.classes[rank].pop()
	q.account(i)
	return i
}

// Remove takes a call out and reports whether it was waiting.
func (q *Queue) Remove(i *Item) bool {
	if i.flow == nil || i.index < 0 {
		return false
	}
	q.classes[i.Rank].remove(i)
	return true
}

func (q *Queue) next() (descriptor.Rank, bool) {
	urgent := q.Waiting(descriptor.Urgent) > 0
	ordinary := q.Waiting(descriptor.Ordinary) > 0
	switch {
	case urgent && ordinary && q.owed():
		return descriptor.Ordinary, true
	case urgent:
		return descriptor.Urgent, true
	default:
		return descriptor.Ordinary, ordinary
	}
}

// owed reports whether ordinary work has had less than its floor.
func (q *Queue) owed() bool {
	total := q.given[descriptor.Ordinary] + q.given[descriptor.Urgent]
	return q.given[descriptor.Ordinary]*100 < float64(q.Floor)*total
}

// account counts the service of a rank. Without contention there is nothing
// to share, so the count starts anew.
func (q *Queue) account(i *Item) {
	if q.Waiting(descriptor.Ordinary) == 0 && q.Waiting(descriptor.Urgent) == 0 {
		q.given = [2]float64{}
		return
	}
	q.given[i.Rank] += i.cost()
}
