package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/standin"
)

// toolPause is the longest pause between two calls of a program.
const toolPause = 120 * time.Millisecond

// course is one program from its opening to its end.
type course struct {
	scenario scenario
	client   *caller.Client
	name     string
	pace     *rand.Rand
}

// result is what became of a program.
type result struct {
	program string
	name    string
	kind    string
	err     error
	// mixed says that an answer was not the one to the program's own history.
	mixed bool
	// notRun names the key of a call that was answered as not run.
	notRun string
	calls  int
}

func (c course) run(ctx context.Context) result {
	r := result{name: c.name, kind: c.scenario.kind}
	p, err := c.client.Open(ctx, c.scenario.kind, 0)
	if err != nil {
		r.err = err
		return r
	}
	r.program = p.ID
	for _, text := range c.scenario.says {
		before := p.Messages()
		answer, err := p.Say(ctx, model, fmt.Sprintf("%s (%s)", text, c.name), c.scenario.limit)
		if err != nil {
			r.err = err
			return r
		}
		r.calls++
		r.mixed = r.mixed || answer != c.expected(before, text)
		waiter.Sleep(ctx, time.Duration(c.pace.Int64N(int64(toolPause))))
	}
	c.serve(ctx, p, &r)
	if err := p.Finish(ctx); err != nil && r.err == nil {
		r.err = err
	}
	return r
}

// expected returns the answer that an engine gives to the history.
func (c course) expected(before []caller.Message, text string) string {
	var b strings.Builder
	for _, m := range before {
		b.WriteString(m.Role + m.Content)
	}
	b.WriteString("user" + fmt.Sprintf("%s (%s)", text, c.name))
	return standin.Answer(b.String(), c.scenario.limit)
}

func (c course) serve(ctx context.Context, p *caller.Program, r *result) {
	if c.scenario.service == "" {
		return
	}
	key := c.scenario.kind + "-" + c.name
	_, err := p.Serve(ctx, c.scenario.service, c.scenario.path, key, []byte(`{"for":"`+c.name+`"}`))
	r.err = err
	var failure *caller.Failure
	if errors.As(err, &failure) && failure.Run == descriptor.RunNo {
		r.notRun = key
	}
}

// tally collects results. The zero value has none.
type tally struct {
	mu      sync.Mutex
	results []result
	failed  int
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
	if r.err != nil {
		t.failed++
	}
}

func (t *tally) counts() (finished, failed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.results) - t.failed, t.failed
}
