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
	model   = "timer-7b"
	hosts   = 7
	engines = 6
	slots   = 4
	// maxAnswerTokens is the token limit that each call requests.
	maxAnswerTokens = 32
	// meanCalls is the mean number of calls of a program; meanPause is the mean
	// pause between two calls.
	meanCalls = 4
	meanPause = 150 * time.Millisecond
	// turnBytes is the length of the message that a program adds for each call.
	turnBytes = 1200
	// systemBytes is the length of the system prompt. All programs of a kind
	// share one prompt, so that engines can cache it.
	systemBytes = 6000
	// drainTimeout is how long started programs may continue after the period
	// in which programs arrive has ended.
	drainTimeout = 60 * time.Second
)

// source is a stream of arriving programs of one kind.
type source struct {
	kind string
	// key is the API key of the organisation that runs the programs.
	key string
	// baseRate is the arrival rate without a flood (see scenario), in programs
	// per second.
	baseRate float64
	urgent   bool
}

// outcome is the outcome of one program.
type outcome struct {
	source source
	// latency is the time from the scheduled start to the end, without the pauses
	// between calls.
	latency time.Duration
	// scheduled is the scheduled start, relative to the start of the run.
	scheduled time.Duration
	err       error
}

// run starts a fleet with a policy, runs a scenario's load on the fleet and
// returns the measured row.
func run(ctx context.Context, s scenario, p policy, length time.Duration, seed uint64) (row, error) {
	f, err := launcher.Start(launcher.Config{
		Network: launcher.Loopback(), DataCentres: []string{"kochi", "thrissur", "kozhikode"},
		Hosts: hosts, Engines: engines,
		Engine: standin.EngineConfig{
			Slots: slots, Step: 10 * time.Millisecond, Prefill: 100 * time.Microsecond, CacheTokens: 40_000,
		},
		Model: model, Services: []string{"timer"}, Rules: p.rules(ruleFile()), Options: p.options(),
		ListLag: 200 * time.Millisecond, ListExpiry: 5 * time.Second, DrainPeriod: time.Second, DrainTimeout: 10 * time.Second,
	})
	if err != nil {
		return row{}, err
	}
	defer f.Close()
	readyCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := f.Ready(readyCtx); err != nil {
		return row{}, err
	}
	meter := startUsageMeter()
	outcomes := runLoad(ctx, f, s, length, seed)
	return newRow(s, p, seed, length, outcomes, f, meter.stop()), nil
}

// runLoad starts the scenario's programs at their scheduled times, whether or
// not earlier programs have ended (open loop), and returns the outcomes.
// Latency is measured from the scheduled start, so that it includes the delay
// of a late start (no coordinated omission).
func runLoad(ctx context.Context, f *launcher.Fleet, s scenario, length time.Duration, seed uint64) []outcome {
	ctx, cancel := context.WithTimeout(ctx, length+drainTimeout)
	defer cancel()
	start := time.Now()
	if s.outage != "" {
		outage := time.AfterFunc(length/2, func() { injectOutage(f, s.outage, length/4) })
		defer outage.Stop()
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
		for at := nextArrival(s, src, 0, length, random); at < length; at = nextArrival(s, src, at, length, random) {
			plan := newPlan(src, random, fmt.Sprintf("%d-%d", i, at))
			group.Go(func() {
				time.Sleep(time.Until(start.Add(at)))
				err := plan.run(ctx, client)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, outcome{source: src, latency: time.Since(start.Add(at)) - plan.totalPause(), scheduled: at, err: err})
			})
		}
	}
	group.Wait()
	return all
}

// nextArrival draws the next arrival of a source from a Poisson process. It
// takes the time of the previous arrival (at) and returns the time of the next
// arrival. Both are relative to the start of the run.
func nextArrival(s scenario, src source, at, length time.Duration, random *rand.Rand) time.Duration {
	rate := s.rate(src, at, length)
	return at + time.Duration(random.ExpFloat64()/rate*float64(time.Second))
}

// injectOutage kills a host permanently, or takes an engine or the log down for
// the given duration.
func injectOutage(f *launcher.Fleet, component string, duration time.Duration) {
	switch component {
	case "host":
		f.Hosts[1].Kill()
	case "engine":
		f.Engines[0].Server.Stop()
		f.Engines[0].Reset()
		time.AfterFunc(duration, func() { _ = f.Engines[0].Server.Start() })
	case "log":
		f.Log.SetDown(true)
		time.AfterFunc(duration, func() { f.Log.SetDown(false) })
	}
}

// plan is a program whose number of calls and pauses are drawn at random in
// advance. As with a real program, the hosts do not know the number of calls and
// the pauses in advance.
type plan struct {
	source source
	name   string
	// pauseTimes has one entry for each call: the pause before the call. The
	// entry of the first call is not used.
	pauseTimes []time.Duration
}

func newPlan(src source, random *rand.Rand, name string) plan {
	p := plan{source: src, name: name}
	// The number of calls has a geometric distribution with mean meanCalls,
	// capped at 20.
	calls := 1 + int(math.Log(1-random.Float64())/math.Log(1-1.0/meanCalls))
	for range min(calls, 20) {
		p.pauseTimes = append(p.pauseTimes, time.Duration(random.ExpFloat64()*float64(meanPause)))
	}
	return p
}

func (p plan) totalPause() time.Duration {
	var sum time.Duration
	for _, pause := range p.pauseTimes[1:] {
		sum += pause
	}
	return sum
}

func (p plan) run(ctx context.Context, client *caller.Client) error {
	program, err := client.Open(ctx, p.source.kind, 0)
	if err != nil {
		return err
	}
	program.System(strings.Repeat(p.source.kind+" ", systemBytes/(len(p.source.kind)+1)))
	for i, pause := range p.pauseTimes {
		if i > 0 {
			time.Sleep(pause)
		}
		text := strings.Repeat(fmt.Sprintf("%s %d ", p.name, i), turnBytes/(len(p.name)+3))
		if _, err := program.Say(ctx, model, text, maxAnswerTokens); err != nil {
			return err
		}
	}
	return program.Finish(ctx)
}

// refusalType returns the type of the error reply that a host sent, or "lost"
// if the caller got an error without a reply from a host.
func refusalType(err error) string {
	var f *caller.Failure
	if errors.As(err, &f) {
		return f.Type
	}
	return "lost"
}
