package coordinator

import (
	"sync"
	"time"

	"github.com/citronpier/citronpier/budgeter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/parser"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
)

// program is the state of one program that this host holds.
type program struct {
	id           string
	organisation string
	// kind is the rule for the program's kind, as it was when this host opened or
	// took over the program.
	kind parser.Kind
	// holder is the id of the budget holder under which this host spends the
	// program's budget. A host that claims the program creates a new holder.
	holder string
	// budget is the program's budget in tokens. It may be lower than the budget of
	// the program's kind.
	budget    int64
	startedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// account tracks what the holder has spent and reserved of the budget.
	account budgeter.Account
	// opened is a log offset: the replica must have read every record from this
	// offset onwards before this host raises its ceiling. It is the log's next
	// offset when the program was opened, or the offset of the holder's last claim
	// or grant.
	opened       int64
	startedCalls int64
	// servedTokens counts the tokens spent by ended attempts. The home of an
	// upstream schedules calls by this number.
	servedTokens int64
	// upstream is the id of the upstream that ran the last model call and caches
	// the program's prompt; empty if there is no such upstream.
	upstream string
	// lastActive is when a call last started or ended.
	lastActive   time.Time
	runningCalls int
	// evicted is true if the program is idle and the eviction of its cached prompt has
	// already been started.
	evicted bool
	// cancels holds the cancel functions of the running calls, by call id.
	cancels map[string]func()
	// handedOver is true once this host no longer holds the program, after a
	// handover or a claim by another host.
	handedOver bool
	// superseded is true once another budget holder has claimed the program.
	superseded bool
}

// begin counts a new running call, or refuses the call if a limit of the program's
// kind is reached or this host no longer holds the program. The function cancel is
// called if another holder claims the program while the call runs.
func (p *program) begin(call string, cancel func(), now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.handedOver:
		return refuser.New(refuser.Superseded, "program %s moved to another host", p.id).WithRetry(time.Second)
	case p.kind.Calls > 0 && p.startedCalls >= p.kind.Calls:
		return refuser.New(refuser.Calls, "program %s has had its %d calls", p.id, p.kind.Calls)
	case p.kind.MaxDuration > 0 && now.Sub(p.startedAt) > p.kind.MaxDuration:
		return refuser.New(refuser.Wall, "program %s has run for its %s", p.id, p.kind.MaxDuration)
	}
	p.startedCalls++
	p.runningCalls++
	p.lastActive = now
	p.evicted = false
	if p.cancels == nil {
		p.cancels = make(map[string]func())
	}
	p.cancels[call] = cancel
	return nil
}

// end counts a running call as ended.
func (p *program) end(call string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cancels, call)
	p.runningCalls--
	p.lastActive = now
}

// supersede marks the program as claimed by another holder and cancels its running
// calls.
func (p *program) supersede() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handedOver = true
	p.superseded = true
	for _, cancel := range p.cancels {
		cancel()
	}
}

func (p *program) isSuperseded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.superseded
}

// settle replaces a call's reservation with the tokens that the call spent.
func (p *program) settle(reserved, spent int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account = p.account.WithSettled(reserved, spent)
	p.servedTokens += spent
}

// reserve reserves tokens for a call if the holder's ceiling covers them.
func (p *program) reserve(cost int64) budgeter.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, verdict := p.account.WithReserved(cost)
	p.account = next
	return verdict
}

// raiseCeiling applies a grant of the given ceiling. The grant's record is at the given
// offset of the log.
func (p *program) raiseCeiling(ceiling, offset int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account = p.account.WithCeiling(ceiling)
	p.opened = offset
}

// budgetLeft returns the tokens of the budget that are neither spent nor reserved.
func (p *program) budgetLeft() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Left()
}

// setUpstream records the upstream that ran the last call and caches its prompt.
func (p *program) setUpstream(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = upstream
}

// upstreamAndServed returns the id of the upstream that caches the program's
// prompt, and the number of tokens that the program has spent.
func (p *program) upstreamAndServed() (upstream string, served int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream, p.servedTokens
}

// token returns the unsigned token that carries the program's state from an ended
// call to the next call.
func (p *program) token(number int64, digest []byte, messages int64, now time.Time) *recorder.Token {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &recorder.Token{
		Program:      p.id,
		Organisation: p.organisation,
		Kind:         p.kind.Name,
		Number:       number,
		Holder:       p.holder,
		Digest:       digest,
		Messages:     messages,
		Spent:        p.account.Spent,
		Ceiling:      p.account.Ceiling,
		Budget:       p.budget,
		Opened:       p.opened,
		Upstream:     p.upstream,
		Elapsed:      now.Sub(p.startedAt).Milliseconds(),
	}
}

// handOver marks the program as handed over and returns its state. It returns false
// if a call is running or this host no longer holds the program.
func (p *program) handOver(now time.Time) (*messenger.ProgramState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningCalls > 0 || p.handedOver {
		return nil, false
	}
	p.handedOver = true
	return &messenger.ProgramState{
		Program:      p.id,
		Organisation: p.organisation,
		Kind:         p.kind.Name,
		Holder:       p.holder,
		Budget:       p.budget,
		Ceiling:      p.account.Ceiling,
		Spent:        p.account.Spent,
		Opened:       p.opened,
		Elapsed:      now.Sub(p.startedAt).Milliseconds(),
		Calls:        p.startedCalls,
		Upstream:     p.upstream,
		Served:       p.servedTokens,
	}, true
}

// idle returns how long the program has had no running call; 0 while a call is running.
func (p *program) idle(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningCalls > 0 {
		return 0
	}
	return now.Sub(p.lastActive)
}

// markEvicted marks the program's cached prompt as evicted and returns the id of the
// upstream that caches the prompt; release is false if there is nothing to evict.
func (p *program) markEvicted() (upstream string, release bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	release = !p.evicted && p.upstream != ""
	p.evicted = true
	return p.upstream, release
}
