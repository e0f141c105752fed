package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/launcher"
	"github.com/citronpier/citronpier/reporter"
	"github.com/citronpier/citronpier/standin"
)

// Config describes a demo.
type Config struct {
	// Out receives the progress lines.
	Out io.Writer
	// Length is the time during which new programs are started. The demo then
	// waits for the programs that are still running.
	Length time.Duration
	// DownHost is the number, counted from 1, of the host that is taken down
	// after half of Length; 0 keeps all hosts up.
	DownHost int
	// Kill makes the host chosen by DownHost crash instead of stopping
	// gracefully.
	Kill bool
	// Seed seeds the random choice of programs and of the pauses between their
	// calls.
	Seed   uint64
	Logger zerolog.Logger
}

// Hosts is the number of hosts that a demo runs.
const Hosts = 3

const (
	engines = 4
	// concurrentPrograms is the number of programs that run at the same time.
	concurrentPrograms = 24
	// readyTimeout bounds the wait for the hosts at the start.
	readyTimeout = 10 * time.Second
	// finishTimeout bounds the wait for the running programs after
	// Config.Length has passed.
	finishTimeout    = 30 * time.Second
	progressInterval = time.Second
)

// A Demo holds the running hosts and fakes and the results of the programs.
type Demo struct {
	config  Config
	fleet   *launcher.Fleet
	results resultSet
}

// Start starts the hosts and the fakes that they call, and waits until the hosts
// are ready. It starts no program.
func Start(ctx context.Context, c Config) (*Demo, error) {
	f, err := launcher.Start(launcher.Config{
		Network:     launcher.Loopback(),
		DataCentres: []string{"kochi", "thrissur"},
		Hosts:       Hosts,
		Engines:     engines,
		Engine: standin.EngineConfig{
			Slots: 6, Step: 4 * time.Millisecond, Prefill: 100 * time.Microsecond, CacheTokens: 50_000,
		},
		Model:        model,
		Services:     []string{"timer", "install", "order", "courier"},
		Rules:        examples.Demo,
		ListLag:      500 * time.Millisecond,
		ListExpiry:   10 * time.Second,
		Logger:       c.Logger,
		DrainPeriod:  time.Second,
		DrainTimeout: 20 * time.Second,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return &Demo{config: c, fleet: f}, nil
}

// Fleet returns the demo's hosts and the fakes that the hosts call.
func (d *Demo) Fleet() *launcher.Fleet { return d.fleet }

// Close kills the demo's hosts and stops the fakes that the hosts call.
func (d *Demo) Close() { d.fleet.Close() }

// Run runs programs for the configured length, takes the chosen host down
// halfway through and checks the guarantees at the end. It returns a
// *GuaranteeError for the first violated guarantee.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.Length+finishTimeout)
	defer cancel()
	start := time.Now()
	progressDone := make(chan struct{})
	go func() {
		defer close(progressDone)
		d.reportProgress(ctx, start)
	}()
	var hostDown sync.WaitGroup
	hostDown.Go(func() { d.takeDownHost(ctx) })
	d.runPrograms(ctx, start)
	hostDown.Wait()
	cancel()
	<-progressDone
	return d.checkGuarantees()
}

// takeDownHost waits for half of the demo's length and then stops or kills the
// configured host.
func (d *Demo) takeDownHost(ctx context.Context) {
	if d.config.DownHost == 0 {
		return
	}
	waiter.Sleep(ctx, d.config.Length/2)
	h := d.fleet.Hosts[d.config.DownHost-1]
	if d.config.Kill {
		d.printf("host %s is killed", h.ID)
		h.Kill()
		return
	}
	d.printf("host %s is stopped", h.ID)
	if err := h.Stop(); err != nil {
		d.printf("host %s: %v", h.ID, err)
	}
}

// runPrograms runs concurrentPrograms workers. Each worker runs one program
// after another until the demo's length has passed. runPrograms returns when
// all workers have ended.
func (d *Demo) runPrograms(ctx context.Context, start time.Time) {
	clients := map[string]*caller.Client{
		examples.DeepamKey:   caller.New(examples.DeepamKey, d.fleet.Callers(), nil),
		examples.BaromedrKey: caller.New(examples.BaromedrKey, d.fleet.Callers(), nil),
	}
	choices := repeatByWeight(scenarios(examples.DeepamKey, examples.BaromedrKey))
	var group sync.WaitGroup
	for worker := range concurrentPrograms {
		group.Go(func() {
			random := rand.New(rand.NewPCG(d.config.Seed, uint64(worker)))
			for n := 0; time.Since(start) < d.config.Length && ctx.Err() == nil; n++ {
				s := choices[random.IntN(len(choices))]
				p := programRun{scenario: s, client: clients[s.apiKey], name: fmt.Sprintf("%d-%d", worker, n), rng: random}
				d.results.add(p.run(ctx))
			}
		})
	}
	group.Wait()
}

// repeatByWeight returns a list that contains each scenario weight times, so that
// a uniform random choice from the list is weighted.
func repeatByWeight(all []scenario) []scenario {
	var choices []scenario
	for _, s := range all {
		for range s.weight {
			choices = append(choices, s)
		}
	}
	return choices
}

// reportProgress prints the numbers of finished and failed programs every
// progressInterval until ctx ends.
func (d *Demo) reportProgress(ctx context.Context, start time.Time) {
	for {
		waiter.Sleep(ctx, progressInterval)
		if ctx.Err() != nil {
			return
		}
		finished, failed := d.results.counts()
		d.printf("%3.0f s: %d programs finished, %d failed", time.Since(start).Seconds(), finished, failed)
	}
}

// printf writes one line to the demo's output.
func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.config.Out, strings.TrimSuffix(format, "\n")+"\n", args...)
}

// Page returns the daily report for the deployment's owner, from the first host
// that the demo did not take down.
func (d *Demo) Page() reporter.Page {
	for i, h := range d.fleet.Hosts {
		if i+1 != d.config.DownHost {
			return h.Node.Page()
		}
	}
	return reporter.Page{}
}

// Describe prints the addresses of the remaining hosts, of the log and of the
// service-discovery list, and the API keys of the example organisations.
func (d *Demo) Describe() {
	for i, h := range d.fleet.Hosts {
		if i+1 != d.config.DownHost {
			d.printf("host %s: http://%s/today", h.ID, h.Caller)
		}
	}
	d.printf("log: %s", d.fleet.LogAddress())
	d.printf("list: %s", d.fleet.ListAddress())
	d.printf("keys: %s, %s", examples.DeepamKey, examples.BaromedrKey)
}
