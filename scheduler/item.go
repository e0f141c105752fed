package scheduler

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// Item is one waiting call.
type Item struct {
	Rank         descriptor.Rank
	Organisation string
	// Weight is the organisation's share within its rank; 0 counts as 1.
	Weight int
	// Served is the service, in generated tokens, that the program has had.
	Served int64
	// Begun says that the program has had a call answered before.
	Begun bool
	// Cost is the expected service of the call in tokens; 0 counts as 1.
	Cost int64
	// Queued is when the call began to wait.
	Queued time.Time

	// key is the item's place within its organisation, lowest first.
	key float64
	// index is the item's place in its heap; -1 once it has left the queue.
	index int
	flow  *flow
}

const (
	// agingTokens is the service that one second of waiting makes up for.
	agingTokens = 200
	// begunTokens is the lead of a begun program over a new one.
	begunTokens = 4000
)

// place returns the item's key: least attained service first, with ageing.
// Ageing lowers every waiting item alike, so the key is fixed on arrival.
func (i *Item) place(epoch time.Time) float64 {
	key := float64(i.Served) + agingTokens*i.Queued.Sub(epoch).Seconds()
	if i.Begun {
		key -= begunTokens
	}
	return key
}

// flatten makes the item's place depend on its arrival alone.
func (i *Item) flatten(epoch time.Time) {
	i.Rank = descriptor.Ordinary
	i.Organisation = ""
	i.key = i.Queued.Sub(epoch).Seconds()
}

func (i *Item) cost() float64 { return float64(max(1, i.Cost)) }

func (i *Item) weight() float64 { return float64(max(1, i.Weight)) }
