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
	// jobRetention is how long the frames of an ended call are kept for callers
	// that reconnect.
	jobRetention = time.Minute
	// idleProgramRetention is how long an idle program is kept after the Retention
	// period of its kind has passed and its cached prompt was evicted.
	idleProgramRetention = 30 * time.Minute
	// sweepInterval is the time between two calls of Sweep.
	sweepInterval = 500 * time.Millisecond
	// evictTimeout bounds one request to an engine to evict a program's cached
	// prompt.
	evictTimeout = time.Second
	// cancelTimeout is how long Cancel waits for the call to end.
	cancelTimeout = 2 * time.Second
)

// Finish ends a program: it drops the program's state and asks the engine to evict
// the program's cached prompt. It returns false if this host does not hold the
// program or if the program belongs to another organisation.
func (c *Coordinator) Finish(organisation, id string, now time.Time) bool {
	p, ok := c.lookupProgram(id)
	if !ok || p.organisation != organisation {
		return false
	}
	c.finishProgram(p, now)
	return true
}

// finishProgram drops an ended program, counts it in metrics and reports, and asks
// the engine to evict the program's cached prompt.
func (c *Coordinator) finishProgram(p *program, now time.Time) {
	c.dropProgram(p.id)
	c.config.Counters.Finished(p.kind.Rank, now.Sub(p.startedAt))
	c.config.Counters.Reached(counter.StageFinished)
	c.config.Reporter.Finished(p.kind, now.Sub(p.startedAt))
	c.releaseMemory(p)
}

// releaseMemory asks the engine that caches a program's prompt to evict it. The
// request runs in the background, and its failure is only logged.
func (c *Coordinator) releaseMemory(p *program) {
	upstream, release := p.markEvicted()
	if !release {
		return
	}
	u, ok := c.config.View().Members().Upstream(upstream)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), evictTimeout)
		defer cancel()
		if err := c.config.Engine.Evict(ctx, u, p.id); err != nil {
			c.config.Logger.Debug().Err(err).Str("upstream", upstream).Msg("engine did not evict the program's cached prompt")
		}
	}()
}

// Cancel cancels a call, waits up to cancelTimeout for the call to end, and returns
// whether the call ran. It returns RunUnknown for an unknown call or after a
// timeout.
func (c *Coordinator) Cancel(ctx context.Context, organisation, call string) descriptor.Run {
	c.mu.Lock()
	j, ok := c.jobsByCall[scopedName(organisation, call)]
	c.mu.Unlock()
	if !ok {
		return descriptor.RunUnknown
	}
	j.cancel()
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		_, ended, changed := j.framesFrom(0)
		if ended {
			return jobRunState(j)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return descriptor.RunUnknown
		}
	}
}

// jobRunState returns whether the call of an ended job ran.
func jobRunState(j *job) descriptor.Run {
	f, _ := j.lastFrame()
	if fault := f.GetFault(); fault != nil {
		return descriptor.Run(fault.GetRun())
	}
	return descriptor.RunYes
}

// Run calls Sweep at every sweepInterval until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for {
		waiter.Sleep(ctx, sweepInterval)
		if ctx.Err() != nil {
			return nil
		}
		c.Sweep(c.config.Clock())
	}
}

// Sweep drops expired jobs. Once a program has been idle for longer than its kind's
// Retention, Sweep asks the engine to evict the program's cached prompt. After
// another idleProgramRetention, Sweep ends the program.
func (c *Coordinator) Sweep(now time.Time) {
	c.sweepJobs(now)
	for _, p := range c.programList() {
		idle := p.idle(now)
		if idle > p.kind.Retention {
			c.releaseMemory(p)
		}
		if idle > p.kind.Retention+idleProgramRetention {
			c.finishProgram(p, now)
		}
	}
}

// programList returns the programs that this host holds in a new slice, so that the
// caller can go through them without holding mu.
func (c *Coordinator) programList() []*program {
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
		if j.expired(now, jobRetention) {
			delete(c.jobs, identity)
		}
	}
	for call, j := range c.jobsByCall {
		if j.expired(now, jobRetention) {
			delete(c.jobsByCall, call)
		}
	}
}

// StopAccepting makes the Coordinator refuse new programs, and new calls of
// programs that this host does not hold. Running calls continue, and new calls of
// the programs that this host holds are still accepted.
func (c *Coordinator) StopAccepting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// Drain waits until no call is running. It returns a refusal if ctx ends first.
func (c *Coordinator) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.runningJobs.Wait()
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
	// yieldTimeout is how long Yield waits for a program's running calls.
	yieldTimeout = 2 * time.Second
	// yieldPollInterval is the time between two checks whether the program's
	// running calls have ended.
	yieldPollInterval = 20 * time.Millisecond
)

// Yield waits until a program has no running calls, gives the program up and
// returns its state. It returns nil if this host does not hold the program, or if
// yieldTimeout passes or ctx ends before the calls have ended.
func (c *Coordinator) Yield(ctx context.Context, id string) *messenger.ProgramState {
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	for ctx.Err() == nil {
		p, ok := c.lookupProgram(id)
		if !ok {
			return nil
		}
		if s, ok := p.handOver(c.config.Clock()); ok {
			c.dropProgram(id)
			return s
		}
		waiter.Sleep(ctx, yieldPollInterval)
	}
	return nil
}

// HandOver gives up every program that has no running calls, and returns the states
// of these programs for another host to adopt.
func (c *Coordinator) HandOver(now time.Time) []*messenger.ProgramState {
	var states []*messenger.ProgramState
	for _, p := range c.programList() {
		if s, ok := p.handOver(now); ok {
			states = append(states, s)
			c.dropProgram(p.id)
		}
	}
	return states
}
