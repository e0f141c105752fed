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

// program is what its home knows of one program.
type program struct {
	id           string
	organisation string
	// kind is the rule that the program began under.
	kind parser.Kind
	// holder is the budget holder that this home acts as.
	holder string
	// budget is the program's budget, which may be below its kind's.
	budget int64
	began  time.Time

	mu      sync.Mutex
	account budgeter.Account
	// opened is an offset from which on every record of the program matters:
	// its opening, or the holder's last valid record.
	opened   int64
	calls    int64
	served   int64
	upstream string
	last     time.Time
	running  int
	// evicted says that the engine was told to release the program's memory.
	evicted bool
	// cancels ends the calls under way, by call id.
	cancels map[string]func()
	// handed says that another host has taken the program over from here.
	handed bool
	// overtaken says that another holder claimed the program.
	overtaken bool
}

// begin counts a call, where the program's limits allow it. Cancel ends it.
func (p *program) begin(call string, cancel func(), now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.handed:
		return refuser.New(refuser.Superseded, "program %s moved to another host", p.id).WithRetry(time.Second)
	case p.kind.Calls > 0 && p.calls >= p.kind.Calls:
		return refuser.New(refuser.Calls, "program %s has had its %d calls", p.id, p.kind.Calls)
	case p.kind.Wall > 0 && now.Sub(p.began) > p.kind.Wall:
		return refuser.New(refuser.Wall, "program %s has run for its %s", p.id, p.kind.Wall)
	}
	p.calls++
	p.running++
	p.last = now
	p.evicted = false
	if p.cancels == nil {
		p.cancels = make(map[string]func())
	}
	p.cancels[call] = cancel
	return nil
}

// end counts a call as ended.
func (p *program) end(call string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cancels, call)
	p.running--
	p.last = now
}

// supersede ends the program here: another holder has claimed it.
func (p *program) supersede() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handed = true
	p.overtaken = true
	for _, cancel := range p.cancels {
		cancel()
	}
}

func (p *program) isOvertaken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overtaken
}

func (p *program) settle(reserved, spent int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account = p.account.WithSettled(reserved, spent)
	p.served += spent
}

func (p *program) reserve(cost int64) budgeter.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, verdict := p.account.WithReserved(cost)
	p.account = next
	return verdict
}

func (p *program) raise(ceiling, offset int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account = p.account.WithCeiling(ceiling)
	p.opened = offset
}

func (p *program) left() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Left()
}

func (p *program) placed(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream = upstream
}

func (p *program) place() (upstream string, served int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream, p.served
}

// token returns the unsigned token of a call that has ended.
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
		Elapsed:      now.Sub(p.began).Milliseconds(),
	}
}

// hand marks the program as moved and returns its state, unless a call runs.
func (p *program) hand(now time.Time) (*messenger.ProgramState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running > 0 || p.handed {
		return nil, false
	}
	p.handed = true
	return &messenger.ProgramState{
		Program:      p.id,
		Organisation: p.organisation,
		Kind:         p.kind.Name,
		Holder:       p.holder,
		Budget:       p.budget,
		Ceiling:      p.account.Ceiling,
		Spent:        p.account.Spent,
		Opened:       p.opened,
		Elapsed:      now.Sub(p.began).Milliseconds(),
		Calls:        p.calls,
		Upstream:     p.upstream,
		Served:       p.served,
	}, true
}

// idle returns how long the program has had no call under way.
func (p *program) idle(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running > 0 {
		return 0
	}
	return now.Sub(p.last)
}

// evict marks the engine memory as released and says where it was held.
func (p *program) evict() (upstream string, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held = !p.evicted && p.upstream != ""
	p.evicted = true
	return p.upstream, held
}
