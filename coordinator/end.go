package coordinator

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// jobKeep is how long an answer is kept for callers that come back.
	jobKeep = time.Minute
	// programKeep is how long an idle program's state is kept after its engine
	// memory was released.
	programKeep = 30 * time.Minute
	// sweepEvery is the time between two looks for what has expired.
	sweepEvery = 500 * time.Millisecond
	// evictBudget bounds one order to release engine memory.
	evictBudget = time.Second
	// cancelBudget is how long a cancel waits for the call to end.
	cancelBudget = 2 * time.Second
)

// Finish ends a program. Its state and its engine memory are released.
func (c *Coordinator) Finish(organisation, id string, now time.Time) bool {
	p, ok := c.program(id)
	if !ok || p.organisation != organisation {
		return false
	}
	c.complete(p, now)
	return true
}

// complete drops an ended program and counts it.
func (c *Coordinator) complete(p *program, now time.Time) {
	c.drop(p.id)
	c.config.Counters.Finished(p.kind.Rank, now.Sub(p.began))
	c.config.Counters.Reached(counter.StageFinished)
	c.config.Reporter.Finished(p.kind, now.Sub(p.began))
	c.releaseMemory(p)
}

// releaseMemory tells the engine that holds a program's memory to evict it.
func (c *Coordinator) releaseMemory(p *program) {
	upstream, held := p.evict()
	if !held {
		return
	}
	u, ok := c.config.View().Members().Upstream(upstream)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), evictBudget)
		defer cancel()
		if err := c.config.Engine.Evict(ctx, u, p.id); err != nil {
			c.config.Logger.Debug().Err(err).Str("upstream", upstream).Msg("evict failed")
		}
	}()
}

// Cancel cancels a call and says whether it ran.
func (c *Coordinator) Cancel(ctx context.Context, organisation, call string) descriptor.Run {
	c.mu.Lock()
	j, ok := c.calls[scoped(organisation, call)]
	c.mu.Unlock()
	if !ok {
		return descriptor.RunUnknown
	}
	j.cancel()
	ctx, cancel := context.WithTimeout(ctx, cancelBudget)
	defer cancel()
	for {
		_, ended, changed := j.since(0)
		if ended {
			return ran(j)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return descriptor.RunUnknown
		}
	}
}

func ran(j *job) descriptor.Run {
	f, _ := j.last()
	if fault := f.GetFault(); fault != nil {
		return descriptor.Run(fault.GetRun())
	}
	return descriptor.RunYes
}

// Run releases what has expired until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for {
		waiter.Sleep(ctx, sweepEvery)
		if ctx.Err() != nil {
			return nil
		}
		c.Sweep(c.config.Clock())
	}
}

// Sweep releases the engine memory of programs that pause for longer than
// their kind keeps it, and drops state that no one asks for any more.
func (c *Coordinator) Sweep(now time.Time) {
	c.sweepJobs(now)
	for _, p := range c.list() {
		idle := p.idle(now)
		if idle > p.kind.Keep {
			c.releaseMemory(p)
		}
		if idle > p.kind.Keep+programKeep {
			c.complete(p, now)
		}
	}
}

func (c *Coordinator) list() []*program {
	c.mu.Lock()
	defer c.mu.Unlock()
	programs := make([]*program, 0, len(c.programs))
	for _, p := range c.programs {
		programs = append(programs, p)
	}
	return programs
}

func (c *Coordinator) sweepJobs(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for identity, j := range c.jobs {
		if j.expired(now, jobKeep) {
			delete(c.jobs, identity)
		}
	}
	for call, j := range c.calls {
		if j.expired(now, jobKeep) {
			delete(c.calls, call)
		}
	}
}

// Leave stops the host from taking calls. Those under way go on.
func (c *Coordinator) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// Drain waits until no call is under way or ctx ends.
func (c *Coordinator) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return refuser.New(refuser.Leaving, "calls are still under way: %w", ctx.Err())
	}
}

const (
	// yieldBudget is how long a program's call under way is waited for.
	yieldBudget = 2 * time.Second
	// yieldEvery is the time between two looks whether it has ended.
	yieldEvery = 20 * time.Millisecond
)

// Yield stops acting for a program, once its calls have ended, and returns its
// state. It returns nil where the host does not hold the program.
func (c *Coordinator) Yield(ctx context.Context, id string) *messenger.ProgramState {
	ctx, cancel := context.WithTimeout(ctx, yieldBudget)
	defer cancel()
	for ctx.Err() == nil {
		p, ok := c.program(id)
		if !ok {
			return nil
		}
		if s, handed := p.hand(c.config.Clock()); handed {
			c.drop(id)
			return s
		}
		waiter.Sleep(ctx, yieldEvery)
	}
	return nil
}

// Hand returns the state of every program without a call under way and stops
// acting for it.
func (c *Coordinator) Hand(now time.Time) []*messenger.ProgramState {
	var states []*messenger.ProgramState
	for _, p := range c.list() {
		if s, ok := p.hand(now); ok {
			states = append(states, s)
			c.drop(p.id)
		}
	}
	return states
}
