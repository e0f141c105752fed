package coordinator

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/replayer"
)

// commitTimeout bounds the wait of a call for a record to be committed to the
// log.
const commitTimeout = 3 * time.Second

// claimProgram makes this host hold the program that token t belongs to. It first
// asks stopping hosts to hand the program over. If no host does, claimProgram
// rebuilds the program from the token and commits a claim to the log, under a new
// holder of the program's budget. At most one claim of a program runs at a time on
// this host.
func (c *Coordinator) claimProgram(ctx context.Context, t *recorder.Token) (*program, error) {
	release, err := c.lockClaim(ctx, t.GetProgram())
	if err != nil {
		return nil, err
	}
	defer release()
	if p, ok := c.lookupProgram(t.GetProgram()); ok {
		return p, nil
	}
	if s, ok := c.config.Yield(ctx, t.GetProgram()); ok {
		c.Adopt([]*messenger.ProgramState{s}, c.config.Clock())
		if p, ok := c.lookupProgram(t.GetProgram()); ok {
			return p, nil
		}
	}
	kind, err := c.lookupKind(t.GetKind())
	if err != nil {
		return nil, err
	}
	now := c.config.Clock()
	p := &program{
		id:           t.GetProgram(),
		organisation: t.GetOrganisation(),
		kind:         kind,
		holder:       rand.Text(),
		budget:       t.GetBudget(),
		startedAt:    now.Add(-time.Duration(t.GetElapsed()) * time.Millisecond),
		lastActive:   now,
		startedCalls: t.GetNumber(),
		servedTokens: t.GetSpent(),
		upstream:     t.GetUpstream(),
	}
	if err := c.commitClaim(ctx, p, t); err != nil {
		return nil, err
	}
	c.config.Counters.Reached(counter.StageClaimed)
	return p, c.addProgram(p)
}

// lockClaim waits until no other goroutine is claiming the program, and returns a
// function that releases the lock. It fails if ctx ends first.
func (c *Coordinator) lockClaim(ctx context.Context, id string) (release func(), err error) {
	for {
		c.mu.Lock()
		released, locked := c.claimLocks[id]
		if !locked {
			done := make(chan struct{})
			c.claimLocks[id] = done
			c.mu.Unlock()
			return func() { c.unlockClaim(id, done) }, nil
		}
		c.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return nil, refuser.New(refuser.Cancelled, "cancelled before it was sent")
		}
	}
}

func (c *Coordinator) unlockClaim(id string, done chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claimLocks, id)
	close(done)
}

// commitClaim commits a claim of program p and sets the program's account from
// the log state after the claim. It refuses if the log may have trimmed records
// of the program, if the program has ended, or if a later claim won.
func (c *Coordinator) commitClaim(ctx context.Context, p *program, t *recorder.Token) error {
	if err := c.checkLogCoverage(t.GetOpened(), p.id); err != nil {
		return err
	}
	first := budgeter.FirstCeiling(p.budget)
	offset, err := c.commitRecord(ctx, &recorder.Record{Body: &recorder.Record_Claim{Claim: &recorder.Claim{
		Program: p.id, Holder: p.holder, Budget: p.budget, First: first, Want: first,
	}}})
	if err != nil {
		return err
	}
	entry, since := c.budgetEntry(p.id)
	switch {
	case since > t.GetOpened():
		return trimmedLogRefusal(p.id)
	case entry.Finished:
		return refuser.New(refuser.Unclaimed, "program %s has ended", p.id)
	case entry.Holder != p.holder:
		return refuser.New(refuser.Superseded, "another host took program %s over", p.id).WithRetry(time.Second)
	}
	p.account = budgeter.Account{Budget: p.budget, Ceiling: entry.Ceiling, Spent: entry.StartSpent}
	p.opened = offset
	return nil
}

// confirmTimeout bounds the log read before an attempt is retried.
const confirmTimeout = time.Second

// confirmHolder checks, before an attempt is retried, that this host is still the
// program's budget holder: another host may have claimed the program while this
// host waited. If the log can't be read, the check uses the records read so far
// and does not block the retry: no host can claim a program while the log is down.
func (c *Coordinator) confirmHolder(ctx context.Context, p *program) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := c.config.Replica.Sync(ctx); err != nil {
		c.config.Logger.Debug().Err(err).Msg("log could not be read to confirm the program's holder")
	}
	if entry, _ := c.budgetEntry(p.id); !entry.HeldBy(p.holder) {
		return c.dropSuperseded(p)
	}
	return nil
}

// dropSuperseded drops a program that another host has claimed and returns the
// refusal for its call.
func (c *Coordinator) dropSuperseded(p *program) error {
	c.dropProgram(p.id)
	return refuser.New(refuser.Superseded, "another host took program %s over", p.id).
		WithRun(descriptor.RunUnknown).WithRetry(time.Second)
}

// Apply drops a program and cancels its model calls when the log holds a claim of
// the program by another budget holder. The log's replica calls it for every
// record.
func (c *Coordinator) Apply(_ int64, record *recorder.Record) {
	claim := record.GetClaim()
	if claim == nil {
		return
	}
	p, ok := c.lookupProgram(claim.GetProgram())
	if !ok || p.holder == claim.GetHolder() {
		return
	}
	p.supersede()
	c.dropProgram(p.id)
}

// Prune does nothing when the log is trimmed: programs are dropped when they end,
// are taken over or stay idle.
func (c *Coordinator) Prune(int64) {}

// checkLogCoverage returns a refusal unless the replica has caught up with the log
// at least once and has read every record from the offset opened onwards. Otherwise
// the replica may have missed a record of the program.
func (c *Coordinator) checkLogCoverage(opened int64, program string) error {
	status := c.config.Replica.Status()
	switch {
	case !status.CaughtUp:
		return refuser.New(refuser.Log, "the host has not read the log yet").WithRetry(time.Second)
	case status.FirstOffset > opened:
		return trimmedLogRefusal(program)
	}
	return nil
}

// trimmedLogRefusal returns the refusal for a program whose records the log may
// have trimmed.
func trimmedLogRefusal(program string) error {
	return refuser.New(refuser.Window, "the log no longer keeps the records of program %s", program)
}

// budgetEntry returns the log's budget state of a program, and the first offset
// from which the replica has read every record.
func (c *Coordinator) budgetEntry(program string) (entry budgeter.Entry, since int64) {
	c.config.Replica.View(func(s replayer.Status) {
		entry, _ = c.config.Budgets.Entry(program)
		since = s.FirstOffset
	})
	return entry, since
}

// commitRecord commits a record to the log within commitTimeout and returns its
// offset.
func (c *Coordinator) commitRecord(ctx context.Context, record *recorder.Record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	offset, err := c.config.Committer.Commit(ctx, record)
	if err != nil {
		return 0, refuser.New(refuser.Log, "the log does not answer: %w", err).WithRetry(commitTimeout)
	}
	return offset, nil
}

// reserve reserves part of the program's budget for a call: cost is the maximum
// number of tokens that the call can generate. If the holder's ceiling is too low,
// reserve first raises the ceiling.
func (c *Coordinator) reserve(ctx context.Context, p *program, cost int64) error {
	for {
		switch v := p.reserve(cost).(type) {
		case budgeter.Reserved:
			return nil
		case budgeter.Exceeded:
			return refuser.New(refuser.Budget, "the call may cost %d tokens and %d are left", cost, v.Left)
		case budgeter.CeilingTooLow:
			if err := c.grantCeiling(ctx, p, v.Ceiling); err != nil {
				return err
			}
		}
	}
}

// grantCeiling commits a grant that raises the spending ceiling of the program's
// budget holder, and then applies the ceiling that the log holds.
func (c *Coordinator) grantCeiling(ctx context.Context, p *program, ceiling int64) error {
	p.mu.Lock()
	opened := p.opened
	p.mu.Unlock()
	if err := c.checkLogCoverage(opened, p.id); err != nil {
		return err
	}
	offset, err := c.commitRecord(ctx, &recorder.Record{Body: &recorder.Record_Grant{Grant: &recorder.Grant{
		Program: p.id, Holder: p.holder, Budget: p.budget, Ceiling: ceiling,
	}}})
	if err != nil {
		return err
	}
	entry, since := c.budgetEntry(p.id)
	switch {
	case since > opened:
		return trimmedLogRefusal(p.id)
	case entry.Finished:
		return refuser.New(refuser.Unclaimed, "program %s has ended", p.id)
	case entry.Holder != p.holder:
		return c.dropSuperseded(p)
	}
	c.config.Counters.Reached(counter.StageGranted)
	p.raiseCeiling(entry.Ceiling, offset)
	return nil
}

// Adopt takes over programs that another host hands over, and returns the number of
// programs taken over. A program keeps the id of its budget holder, because the
// other host has stopped spending under that id. An incarnation adopts each holder
// id at most once, so a duplicate handover message has no effect.
func (c *Coordinator) Adopt(states []*messenger.ProgramState, now time.Time) int64 {
	var adopted int64
	for _, s := range states {
		kind, err := c.lookupKind(s.GetKind())
		if err != nil {
			continue
		}
		p := &program{
			id:           s.GetProgram(),
			organisation: s.GetOrganisation(),
			kind:         kind,
			holder:       s.GetHolder(),
			budget:       s.GetBudget(),
			account:      budgeter.Account{Budget: s.GetBudget(), Ceiling: s.GetCeiling(), Spent: s.GetSpent()},
			opened:       s.GetOpened(),
			startedAt:    now.Add(-time.Duration(s.GetElapsed()) * time.Millisecond),
			lastActive:   now,
			startedCalls: s.GetCalls(),
			upstream:     s.GetUpstream(),
			servedTokens: s.GetServed(),
		}
		if _, known := c.lookupProgram(p.id); known || c.adoptedHolders.Contains(p.holder) || c.addProgram(p) != nil {
			continue
		}
		c.adoptedHolders.Add(p.holder, struct{}{})
		adopted++
	}
	return adopted
}
