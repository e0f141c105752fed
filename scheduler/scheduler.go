package scheduler

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// A Queue holds the calls that wait for one upstream. The zero value is an
// empty queue without a floor. A Queue is not safe for concurrent use.
type Queue struct {
	// Floor is the share of the service, in percent, that ordinary calls are
	// guaranteed while calls of both ranks wait.
	Floor int
	// Discipline is the order of service; nil means Fair.
	Discipline Discipline

	// classes holds the waiting calls by rank.
	classes [2]class
	// servedTokens is the service that each rank has received since the queue
	// was last empty.
	servedTokens [2]float64
	// epoch is the arrival time of the first call; item keys count from it.
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

// Organisations returns the number of organisations that have waiting calls in a rank.
func (q *Queue) Organisations(rank descriptor.Rank) int { return q.classes[rank].waiting.Len() }

// Push adds a call. Its Queued time must be set.
func (q *Queue) Push(i *Item) {
	if q.epoch.IsZero() {
		q.epoch = i.Queued
	}
	i.key = i.sortKey(q.epoch)
	if _, firstCome := q.Discipline.(FirstCome); firstCome {
		i.orderByArrival(q.epoch)
	}
	q.classes[i.Rank].push(i)
}

// Pop removes and returns the call to serve next, or nil if no call is waiting.
func (q *Queue) Pop() *Item {
	rank, ok := q.nextRank()
	if !ok {
		return nil
	}
	i := q.classes[rank].pop()
	q.recordService(i)
	return i
}

// Remove takes a call out of the queue and reports whether the call was waiting.
func (q *Queue) Remove(i *Item) bool {
	if i.flow == nil || i.index < 0 {
		return false
	}
	q.classes[i.Rank].remove(i)
	return true
}

// nextRank returns the rank to serve next, or false if the queue is empty.
func (q *Queue) nextRank() (descriptor.Rank, bool) {
	urgent := q.Waiting(descriptor.Urgent) > 0
	ordinary := q.Waiting(descriptor.Ordinary) > 0
	switch {
	case urgent && ordinary && q.belowFloor():
		return descriptor.Ordinary, true
	case urgent:
		return descriptor.Urgent, true
	default:
		return descriptor.Ordinary, ordinary
	}
}

// belowFloor reports whether ordinary calls have received less than their
// guaranteed share of the service.
func (q *Queue) belowFloor() bool {
	total := q.servedTokens[descriptor.Ordinary] + q.servedTokens[descriptor.Urgent]
	return q.servedTokens[descriptor.Ordinary]*100 < float64(q.Floor)*total
}

// recordService adds a popped call's cost to the service of its rank. Once the
// queue is empty the ranks no longer compete, so the counts restart at 0.
func (q *Queue) recordService(i *Item) {
	if q.Waiting(descriptor.Ordinary) == 0 && q.Waiting(descriptor.Urgent) == 0 {
		q.servedTokens = [2]float64{}
		return
	}
	q.servedTokens[i.Rank] += i.cost()
}
