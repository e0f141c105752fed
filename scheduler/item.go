package scheduler

import (
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// Item is one waiting call. The caller must not change its fields once it is
// pushed. Under FirstCome, Push overwrites Rank and Organisation.
type Item struct {
	Rank         descriptor.Rank
	Organisation string
	// Weight is the organisation's relative share of the service that its rank
	// receives; 0 counts as 1.
	Weight int
	// Served is the service that the program has received so far, in generated
	// tokens.
	Served int64
	// Begun is true if an earlier call of the program was answered.
	Begun bool
	// Cost is the expected number of tokens that the call generates; 0 counts as 1.
	Cost int64
	// Queued is the time at which the call began to wait.
	Queued time.Time

	// key orders the items of one flow, lowest first.
	key float64
	// index is the item's index in its flow's heap; -1 once it has left the queue.
	index int
	// flow is the flow that the item was pushed to; nil before Queue.Push.
	flow *flow
}

const (
	// ageingTokens is the number of served tokens that one second of waiting
	// offsets.
	ageingTokens = 200
	// begunTokens is the number of served tokens by which a program that has begun
	// is preferred to a new program.
	begunTokens = 4000
)

// sortKey returns the item's key: least attained service first, with ageing.
// As time passes, ageing would lower the keys of all waiting items equally, which
// leaves their order as it is. So the key is computed once, on arrival, and grows
// with the arrival time instead.
func (i *Item) sortKey(epoch time.Time) float64 {
	key := float64(i.Served) + ageingTokens*i.Queued.Sub(epoch).Seconds()
	if i.Begun {
		key -= begunTokens
	}
	return key
}

// orderByArrival prepares the item for FirstCome: all items get the same rank and
// organisation, and so share one flow, which is ordered by arrival time.
func (i *Item) orderByArrival(epoch time.Time) {
	i.Rank = descriptor.Ordinary
	i.Organisation = ""
	i.key = i.Queued.Sub(epoch).Seconds()
}

func (i *Item) cost() float64 { return float64(max(1, i.Cost)) }

func (i *Item) weight() float64 { return float64(max(1, i.Weight)) }
