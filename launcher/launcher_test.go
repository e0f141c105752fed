package launcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/launcher"
	"github.com/citronpier/citronpier/standin"
)

// A program's turns and its service call succeed in a fleet of three hosts. The
// service call is sent twice with the same idempotency key and must run only
// once.
func TestProgramEndToEnd(t *testing.T) {
	f, err := launcher.Start(launcher.Config{
		Network: launcher.Loopback(), DataCentres: []string{"kochi", "thrissur"}, Hosts: 3, Engines: 3,
		Engine: standin.EngineConfig{Slots: 4, Step: time.Millisecond, CacheTokens: 100000},
		Model:  "timer-7b", Services: []string{"timer"}, Rules: examples.Demo,
		Logger: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	c := caller.New(examples.DeepamKey, f.Callers(), nil)
	p, err := c.Open(ctx, "fitter", 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := p.Say(ctx, "timer-7b", "the lamp stays dark", 64); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		if _, err := p.CallService(ctx, "timer", "switch", "key-1", []byte(`{"on":true}`)); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Finish(ctx); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1, len(f.Services["timer"].Ran())); diff != "" {
		t.Errorf("executions of the service call (-want +got):\n%s", diff)
	}
}
