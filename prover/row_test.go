package prover_test

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/examples"
)

// row is a row of the test matrix (faults by steps): the name of a fault and the
// function that injects it. If the fault is temporary, inject also schedules its end.
type row struct {
	name   string
	inject func(fx *fixture)
}

// replacementDelay is the time from the crash of a host to the start of its
// replacement.
const replacementDelay = 5 * time.Second

// outageDuration is how long faults of the log and the service-discovery list
// last.
const outageDuration = 15 * time.Second

// rows are the faults to inject. A fault of a single host is injected at the
// host that fixture.target returns, usually the home of the program under test.
var rows = []row{
	{"killed", func(fx *fixture) {
		fx.target().Kill()
		fx.after(replacementDelay, fx.replace)
	}},
	{"paused", func(fx *fixture) {
		h := fx.target()
		h.Link.Pause()
		fx.after(5*time.Second, func() {
			fx.mu.Lock()
			fx.resumedAt = append(fx.resumedAt, time.Now())
			fx.mu.Unlock()
			h.Link.Resume()
		})
	}},
	{"log down", func(fx *fixture) {
		fx.fleet.Log.SetDown(true)
		fx.after(outageDuration, func() { fx.fleet.Log.SetDown(false) })
	}},
	{"log slow", func(fx *fixture) {
		fx.fleet.Log.SetSlow(1500 * time.Millisecond)
		fx.after(outageDuration, func() { fx.fleet.Log.SetSlow(0) })
	}},
	{"answer lost", func(fx *fixture) {
		fx.fleet.Log.LoseResponses(3)
		fx.fleet.Services["timer"].LoseResponses(1)
	}},
	{"claim lapsed", func(fx *fixture) {
		// The list shows the target as leaving, so other hosts may claim its
		// programs while the target itself continues to serve them.
		id := fx.target().ID
		fx.fleet.List.ForceLeaving(id, true, time.Now())
		fx.after(5*time.Second, func() { fx.fleet.List.ForceLeaving(id, false, time.Now()) })
	}},
	{"silent", func(fx *fixture) { fx.target().Link.BlackHole() }},
	{"upstream crash", func(fx *fixture) {
		for _, e := range fx.fleet.Engines[:2] {
			e.Reset()
			fx.pending.Go(func() {
				e.Server.Stop()
				time.Sleep(500 * time.Millisecond)
				_ = e.Server.Start()
			})
		}
		s := fx.fleet.Services["timer"].Server
		fx.pending.Go(func() {
			s.Stop()
			time.Sleep(500 * time.Millisecond)
			_ = s.Start()
		})
	}},
	{"poison", func(fx *fixture) {
		fx.pending.Go(func() {
			c := caller.New(examples.BaromedrKey, fx.fleet.Callers(), fx.link.Dial)
			p, err := c.Open(context.Background(), "owner", 0)
			if err == nil {
				_, _ = p.Say(context.Background(), model, poison, limit)
			}
		})
	}},
	{"list down", func(fx *fixture) {
		fx.fleet.List.SetDown(true)
		fx.after(outageDuration, func() { fx.fleet.List.SetDown(false) })
	}},
	{"publishers race", func(fx *fixture) {
		for _, author := range []string{"anil", "gwen"} {
			fx.pending.Go(func() { fx.publish(context.Background(), author) })
		}
	}},
	{"clock stepped", func(fx *fixture) {
		h := fx.target()
		h.SetClockSkew(time.Hour)
		fx.after(10*time.Second, func() { h.SetClockSkew(-time.Hour) })
	}},
}

func (fx *fixture) log() connector.Log { return dialer.NewLog(fx.fleet.LogAddress(), fx.link.Dial) }
