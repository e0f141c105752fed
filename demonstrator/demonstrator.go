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
	Out io.Writer
	// Length is how long new programs are begun.
	Length time.Duration
	// Stop is the number, from 1, of the host that is lost half way; 0 is none.
	Stop int
	// Kill says that the host dies; otherwise it is stopped gracefully.
	Kill bool
	// Seed sets the order of the programs.
	Seed   uint64
	Logger zerolog.Logger
}

// Hosts is the number of hosts that a demo runs.
const Hosts = 3

const (
	engines   = 4
	atOnce    = 24
	readyIn   = 10 * time.Second
	endIn     = 30 * time.Second
	tellEvery = time.Second
)

// A Demo is a running demo.
type Demo struct {
	config Config
	fleet  *launcher.Fleet
	tally  tally
}

// Start starts the hosts and the stand-ins.
func Start(ctx context.Context, c Config) (*Demo, error) {
	f, err := launcher.Start(launcher.Config{
		Network:     launcher.Loopback(),
		DataCentres: []string{"kochi", "thrissur"},
		Hosts:       Hosts,
		Engines:     engines,
		Engine: standin.EngineConfig{
			Slots: 6, Step: 4 * time.Millisecond, Prefill: 100 * time.Microsecond, CacheTokens: 50_000,
		},
		Model:    model,
		Services: []string{"timer", "install", "order", "courier"},
		Rules:    examples.Demo,
		Lag:      500 * time.Millisecond,
		Expire:   10 * time.Second,
		Logger:   c.Logger,
		Linger:   time.Second,
		Drain:    20 * time.Second,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyIn)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return &Demo{config: c, fleet: f}, nil
}

// Fleet returns what the demo runs on.
func (d *Demo) Fleet() *launcher.Fleet { return d.fleet }

// Close ends the demo's hosts and stand-ins.
func (d *Demo) Close() { d.fleet.Close() }

// Run runs the programs. It returns an error that names the promise that did
// not hold, if any.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.config.Length+endIn)
	defer cancel()
	began := time.Now()
	told := make(chan struct{})
	go func() {
		defer close(told)
		d.tell(ctx, began)
	}()
	var lost sync.WaitGroup
	lost.Go(func() { d.loseHost(ctx) })
	d.programs(ctx, began)
	lost.Wait()
	cancel()
	<-told
	return d.check()
}

// loseHost takes one host away half way.
func (d *Demo) loseHost(ctx context.Context) {
	if d.config.Stop == 0 {
		return
	}
	waiter.Sleep(ctx, d.config.Length/2)
	h := d.fleet.Hosts[d.config.Stop-1]
	if d.config.Kill {
		d.say("host %s is killed", h.ID)
		h.Kill()
		return
	}
	d.say("host %s is stopped", h.ID)
	if err := h.Stop(); err != nil {
		d.say("host %s: %v", h.ID, err)
	}
}

// programs keeps a number of programs under way for the length of the demo.
func (d *Demo) programs(ctx context.Context, began time.Time) {
	clients := map[string]*caller.Client{
		examples.DeepamKey:   caller.New(examples.DeepamKey, d.fleet.Callers(), nil),
		examples.BaromedrKey: caller.New(examples.BaromedrKey, d.fleet.Callers(), nil),
	}
	deck := deal(scenarios(examples.DeepamKey, examples.BaromedrKey))
	var group sync.WaitGroup
	for worker := range atOnce {
		group.Go(func() {
			random := rand.New(rand.NewPCG(d.config.Seed, uint64(worker)))
			for n := 0; time.Since(began) < d.config.Length && ctx.Err() == nil; n++ {
				s := deck[random.IntN(len(deck))]
				c := course{scenario: s, client: clients[s.key], name: fmt.Sprintf("%d-%d", worker, n), pace: random}
				d.tally.add(c.run(ctx))
			}
		})
	}
	group.Wait()
}

// deal returns a list in which each scenario stands as often as its share.
func deal(all []scenario) []scenario {
	var deck []scenario
	for _, s := range all {
		for range s.share {
			deck = append(deck, s)
		}
	}
	return deck
}

// tell prints a line of progress from time to time.
func (d *Demo) tell(ctx context.Context, began time.Time) {
	for {
		waiter.Sleep(ctx, tellEvery)
		if ctx.Err() != nil {
			return
		}
		finished, failed := d.tally.counts()
		d.say("%3.0f s: %d programs finished, %d failed", time.Since(began).Seconds(), finished, failed)
	}
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.config.Out, strings.TrimSuffix(format, "\n")+"\n", args...)
}

// Page returns the owner's page as a host that is still up shows it.
func (d *Demo) Page() reporter.Page {
	for i, h := range d.fleet.Hosts {
		if i+1 != d.config.Stop {
			return h.Node.Page()
		}
	}
	return reporter.Page{}
}

// Describe prints the addresses of what runs.
func (d *Demo) Describe() {
	for i, h := range d.fleet.Hosts {
		if i+1 != d.config.Stop {
			d.say("host %s: http://%s/today", h.ID, h.Caller)
		}
	}
	d.say("log: %s", d.fleet.LogAddress())
	d.say("list: %s", d.fleet.ListAddress())
	d.say("keys: %s, %s", examples.DeepamKey, examples.BaromedrKey)
}
