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

// maxPause bounds the random pause after each answer. The pause simulates the
// time in which a program runs a tool between two calls.
const maxPause = 120 * time.Millisecond

// programRun runs one program from opening it to finishing it.
type programRun struct {
	scenario scenario
	client   *caller.Client
	// name is unique in the demo. It is part of every prompt, so that the
	// answer to another program's prompt is recognised as wrong.
	name string
	// rng draws the pauses between calls.
	rng *rand.Rand
}

// result is the outcome of one program.
type result struct {
	// program is the program's ID, empty if it could not be opened.
	program string
	// name is the name of the programRun.
	name string
	kind string
	// err is the first error of the program; nil if all its calls succeeded.
	err error
	// wrongAnswer reports whether any answer differed from the answer that an
	// engine gives to the program's message history.
	wrongAnswer bool
	// notRunKey is the idempotency key of the service call if the call's error
	// reply reported that the call was not run, and empty otherwise.
	notRunKey string
	// calls counts the model calls that were answered.
	calls int
}

// run opens the program, sends its prompts and its service call, and finishes
// it. It stops at the first model call that fails, without finishing the program.
func (c programRun) run(ctx context.Context) result {
	r := result{name: c.name, kind: c.scenario.kind}
	p, err := c.client.Open(ctx, c.scenario.kind, 0)
	if err != nil {
		r.err = err
		return r
	}
	r.program = p.ID
	for _, text := range c.scenario.prompts {
		before := p.Messages()
		answer, err := p.Say(ctx, model, fmt.Sprintf("%s (%s)", text, c.name), c.scenario.maxTokens)
		if err != nil {
			r.err = err
			return r
		}
		r.calls++
		r.wrongAnswer = r.wrongAnswer || answer != c.expectedAnswer(before, text)
		waiter.Sleep(ctx, time.Duration(c.rng.Int64N(int64(maxPause))))
	}
	c.callService(ctx, p, &r)
	if err := p.Finish(ctx); err != nil && r.err == nil {
		r.err = err
	}
	return r
}

// expectedAnswer returns the answer that the fake engine gives to a user message
// with the given text. The parameter before has the earlier messages of the
// program. The fake's answer depends only on the prompt and the maximum number
// of tokens.
func (c programRun) expectedAnswer(before []caller.Message, text string) string {
	var b strings.Builder
	for _, m := range before {
		b.WriteString(m.Role + m.Content)
	}
	b.WriteString("user" + fmt.Sprintf("%s (%s)", text, c.name))
	return standin.Answer(b.String(), c.scenario.maxTokens)
}

// callService makes the scenario's service call, if it has one, and records the
// outcome in r.
func (c programRun) callService(ctx context.Context, p *caller.Program, r *result) {
	if c.scenario.service == "" {
		return
	}
	key := c.scenario.kind + "-" + c.name
	_, err := p.CallService(ctx, c.scenario.service, c.scenario.path, key, []byte(`{"for":"`+c.name+`"}`))
	r.err = err
	var failure *caller.Failure
	if errors.As(err, &failure) && failure.Run == descriptor.RunNo {
		r.notRunKey = key
	}
}

// resultSet collects the results of programs. The zero value is empty and ready
// to use.
type resultSet struct {
	mu   sync.Mutex
	list []result
	// failed counts the results that have an error.
	failed int
}

func (t *resultSet) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, r)
	if r.err != nil {
		t.failed++
	}
}

// counts returns how many programs finished and how many failed so far.
func (t *resultSet) counts() (finished, failed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.list) - t.failed, t.failed
}
