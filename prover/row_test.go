package prover_test

import (
	"context"
	"time"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/dialer"
	"github.com/citronpier/citronpier/examples"
)

// row is a fault.
type row struct {
	name   string
	strike func(w *world)
}

// replacedIn is when a new host takes the place of one that died.
const replacedIn = 5 * time.Second

// outage is how long faults of the platform last.
const outage = 15 * time.Second

var rows = []row{
	{"killed", func(w *world) {
		w.target().Kill()
		w.later(replacedIn, w.replace)
	}},
	{"paused", func(w *world) {
		h := w.target()
		h.Link.Pause()
		w.later(5*time.Second, func() {
			w.mu.Lock()
			w.woke = append(w.woke, time.Now())
			w.mu.Unlock()
			h.Link.Resume()
		})
	}},
	{"log down", func(w *world) {
		w.fleet.Log.SetDown(true)
		w.later(outage, func() { w.fleet.Log.SetDown(false) })
	}},
	{"log slow", func(w *world) {
		w.fleet.Log.SetSlow(1500 * time.Millisecond)
		w.later(outage, func() { w.fleet.Log.SetSlow(0) })
	}},
	{"answer lost", func(w *world) {
		w.fleet.Log.LoseAnswers(3)
		w.fleet.Services["timer"].LoseAnswers(1)
	}},
	{"claim lapsed", func(w *world) {
		// The other hosts take the target for leaving while it goes on.
		id := w.target().ID
		w.fleet.List.ForceLeaving(id, true, time.Now())
		w.later(5*time.Second, func() { w.fleet.List.ForceLeaving(id, false, time.Now()) })
	}},
	{"silent", func(w *world) { w.target().Link.Forget() }},
	{"upstream crash", func(w *world) {
		for _, e := range w.fleet.Engines[:2] {
			e.Reset()
			w.pending.Go(func() {
				e.Server.Stop()
				time.Sleep(500 * time.Millisecond)
				_ = e.Server.Start()
			})
		}
		s := w.fleet.Services["timer"].Server
		w.pending.Go(func() {
			s.Stop()
			time.Sleep(500 * time.Millisecond)
			_ = s.Start()
		})
	}},
	{"poison", func(w *world) {
		w.pending.Go(func() {
			c := caller.New(examples.BaromedrKey, w.fleet.Callers(), w.link.Dial)
			p, err := c.Open(context.Background(), "owner", 0)
			if err == nil {
				_, _ = p.Say(context.Background(), model, poison, limit)
			}
		})
	}},
	{"list down", func(w *world) {
		w.fleet.List.SetDown(true)
		w.later(outage, func() { w.fleet.List.SetDown(false) })
	}},
	{"publishers race", func(w *world) {
		for _, author := range []string{"anil", "gwen"} {
			w.pending.Go(func() { w.publish(context.Background(), author) })
		}
	}},
	{"clock stepped", func(w *world) {
		h := w.target()
		h.StepClock(time.Hour)
		w.later(10*time.Second, func() { h.StepClock(-time.Hour) })
	}},
}

func (w *world) log() connector.Log { return dialer.NewLog(w.fleet.LogAddress(), w.link.Dial) }
