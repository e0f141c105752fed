package admitter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxPrograms limits the number of programs that are remembered.
	maxPrograms = 4096
	// targetFactor is the target duration of a program relative to its time on idle upstreams,
	// and lastFactor the duration, relative to the target, after which it is worth nothing.
	targetFactor = 1.4
	lastFactor   = 2
	// minRetry and maxRetry bound the time after which a refused caller should return.
	minRetry = 250 * time.Millisecond
	maxRetry = 5 * time.Second
)

// program is what is known of a program.
type program struct {
	// arrived is when the first turn arrived, and target the target duration; 0 if the program
	// has none.
	arrived, target time.Duration
	admitted        bool
	// refusals counts the attempts of the first turn that were refused.
	refusals int
}

// program returns what is known of the program of a turn. The caller must hold mu.
func (a *Admitter) program(r Request, at time.Duration) program {
	if a.programs != nil && r.Program != "" {
		if p, ok := a.programs.Get(r.Program); ok {
			return p
		}
	}
	return program{arrived: at, target: r.TargetLeft}
}

// remember keeps what is known of the program of a turn. The caller must hold mu.
func (a *Admitter) remember(r Request, p program) {
	if r.Program == "" {
		return
	}
	if a.programs == nil {
		programs, err := lru.New[string, program](maxPrograms)
		if err != nil {
			panic(err) // the size is a positive constant
		}
		a.programs = programs
	}
	a.programs.Add(r.Program, p)
}

// slack returns the time that a program whose turns are stretched has left besides its turns,
// until twice its target duration. It is 0 if the program has no target.
func (p program) slack(stretch float64, at time.Duration) time.Duration {
	if p.target <= 0 {
		return 0
	}
	expected := time.Duration(stretch / targetFactor * float64(p.target))
	return lastFactor*p.target - (at - p.arrived) - expected
}

// chance returns the part of the first turns with as many refusals that is admitted, given the
// part for those without. A caller that returns is preferred.
func (p program) chance(share float64) float64 {
	return 1 - math.Pow(1-share, float64(1+p.refusals))
}

// draw returns a number in [0, 1) that is spread evenly over the ids of requests.
func draw(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// spread returns a factor from 0.75 to 1.25 that is spread evenly over the ids of requests and
// does not depend on draw.
func spread(id string) float64 {
	const bits = 11
	return 0.75 + float64(xxhash.Sum64String(id)&(1<<bits-1))/(2<<bits)
}

// retryAfter returns when a refused caller should return: when the programs that run by then
// have ended in proportion to the excess, and early enough to end within twice the target.
func retryAfter(r Request, p program, route *route, in Inputs, at time.Duration) time.Duration {
	wait := time.Duration((in.Stretch - 1) * float64(route.programTime()))
	if slack := p.slack(fullStretch, at); slack > 0 {
		wait = min(wait, slack/2)
	}
	wait = min(maxRetry, max(minRetry, wait))
	return time.Duration(spread(r.ID) * float64(wait))
}
