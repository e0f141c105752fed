package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/launcher"
	"github.com/citronpier/citronpier/standin"
)

const (
	model     = "timer-7b"
	hosts     = 7
	engines   = 6
	slots     = 4
	answerCap = 32
	meanCalls = 4
	meanPause = 150 * time.Millisecond
	// turnBytes is the length of what a tool or a person adds in one turn.
	turnBytes = 1200
	// systemBytes is the length of a kind's system prompt.
	systemBytes = 6000
	drainIn     = 60 * time.Second
)

// source is a stream of programs of one kind.
type source struct {
	kind   string
	key    string
	base   float64
	urgent bool
}

// outcome is what became of one program.
type outcome struct {
	source  source
	latency time.Duration
	begun   time.Duration
	err     error
}

func run(ctx context.Context, s scenario, p policy, length time.Duration, seed uint64) (row, error) {
	f, err := launcher.Start(launcher.Config{
		Network: launcher.Loopback(), DataCentres: []string{"kochi", "thrissur", "kozhikode"},
		Hosts: hosts, Engines: engines,
		Engine: standin.EngineConfig{
			Slots: slots, Step: 10 * time.Millisecond, Prefill: 100 * time.Microsecond, CacheTokens: 40_000,
		},
		Model: model, Services: []string{"timer"}, Rules: p.rules(rules()), Options: p.options(),
		Lag: 200 * time.Millisecond, Expire: 5 * time.Second, Linger: time.Second, Drain: 10 * time.Second,
	})
	if err != nil {
		return row{}, err
	}
	defer f.Close()
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := f.Ready(ready); err != nil {
		return row{}, err
	}
	usage := startUsage()
	outcomes := offer(ctx, f, s, length, seed)
	return newRow(s, p, seed, length, outcomes, f, usage.stop()), nil
}

// offer sends the scenario's programs, open-loop, and returns what became of
// them. Latency counts from the intended start.
func offer(ctx context.Context, f *launcher.Fleet, s scenario, length time.Duration, seed uint64) []outcome {
	ctx, cancel := context.WithTimeout(ctx, length+drainIn)
	defer cancel()
	began := time.Now()
	if s.lose != "" {
		loss := time.AfterFunc(length/2, func() { lose(f, s.lose, length/4) })
		defer loss.Stop()
	}
	sources := []source{
		{"dealer", examples.DeepamKey, s.ordinary, false},
		{"fitter", examples.DeepamKey, s.urgent, true},
		{"owner", examples.BaromedrKey, s.other, false},
	}
	var mu sync.Mutex
	var all []outcome
	var group sync.WaitGroup
	for i, src := range sources {
		client := caller.New(src.key, f.Callers(), nil)
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := next(s, src, 0, length, random); at < length; at = next(s, src, at, length, random) {
			plan := newPlan(src, random, fmt.Sprintf("%d-%d", i, at))
			group.Go(func() {
				time.Sleep(time.Until(began.Add(at)))
				err := plan.run(ctx, client)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, outcome{source: src, latency: time.Since(began.Add(at)) - plan.pauses(), begun: at, err: err})
			})
		}
	}
	group.Wait()
	return all
}

// next returns the time of the next arrival of a Poisson process.
func next(s scenario, src source, at, length time.Duration, random *rand.Rand) time.Duration {
	rate := s.rate(src, at, length)
	return at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
}

// lose takes something away for a while.
func lose(f *launcher.Fleet, what string, back time.Duration) {
	switch what {
	case "host":
		f.Hosts[1].Kill()
	case "engine":
		f.Engines[0].Server.Stop()
		f.Engines[0].Reset()
		time.AfterFunc(back, func() { _ = f.Engines[0].Server.Start() })
	case "log":
		f.Log.SetDown(true)
		time.AfterFunc(back, func() { f.Log.SetDown(false) })
	}
}

// plan is a program whose shape no one but its caller knows.
type plan struct {
	source source
	name   string
	waits  []time.Duration
}

func newPlan(src source, random *rand.Rand, name string) plan {
	p := plan{source: src, name: name}
	// The number of calls is geometric, at most 20.
	calls := 1 + int(math.Log(1-random.Float64())/math.Log(1-1.0/meanCalls))
	for range min(calls, 20) {
		p.waits = append(p.waits, time.Duration(random.ExpFloat64()*float64(meanPause)))
	}
	return p
}

func (p plan) pauses() time.Duration {
	var sum time.Duration
	for _, w := range p.waits[1:] {
		sum += w
	}
	return sum
}

func (p plan) run(ctx context.Context, client *caller.Client) error {
	program, err := client.Open(ctx, p.source.kind, 0)
	if err != nil {
		return err
	}
	program.System(strings.Repeat(p.source.kind+" ", systemBytes/(len(p.source.kind)+1)))
	for i, wait := range p.waits {
		if i > 0 {
			time.Sleep(wait)
		}
		text := strings.Repeat(fmt.Sprintf("%s %d ", p.name, i), turnBytes/(len(p.name)+3))
		if _, err := program.Say(ctx, model, text, answerCap); err != nil {
			return err
		}
	}
	return program.Finish(ctx)
}

// refusedAs returns the type of a refusal.
func refusedAs(err error) string {
	var f *caller.Failure
	if errors.As(err, &f) {
		return f.Type
	}
	return "lost"
}
