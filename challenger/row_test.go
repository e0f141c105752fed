package challenger_test

import (
	"time"

	"github.com/citronpier/citronpier/standin"
)

// row is a fault.
type row struct {
	name   string
	strike func(w *world)
}

// faultFor is how long a fault lasts that ends by itself.
const faultFor = 3 * time.Second

// kill ends a host as the death of its process does. Another one is started.
func (w *world) kill(victims ...*process) {
	for _, p := range victims {
		p.mu.Lock()
		p.dead = true
		p.mu.Unlock()
		p.link.Kill()
		p.cancel()
		w.later(restartIn, func() { w.start() })
	}
}

// pause has hosts stand still for a time.
func (w *world) pause(victims ...*process) {
	for _, p := range victims {
		p.mu.Lock()
		paused := p.gate != nil
		if !paused {
			p.gate = make(chan struct{})
		}
		p.mu.Unlock()
		if paused {
			continue
		}
		p.link.Pause()
		w.later(faultFor, p.resume)
	}
}

// storeFault has the store misbehave for a time.
func (w *world) storeFault(f faults) {
	w.mu.Lock()
	w.faults = f
	w.mu.Unlock()
	w.later(faultFor, func() {
		w.mu.Lock()
		w.faults = faults{}
		w.mu.Unlock()
		w.store.Settle()
	})
}

// leave stops hosts as planned. Others are started first.
func (w *world) leave(victims ...*process) {
	for _, p := range victims {
		w.start()
		p.mu.Lock()
		p.leaving = true
		p.mu.Unlock()
		p.cancel()
	}
}

func (w *world) refuse(victims ...*process) {
	refused := make(map[*process]bool)
	for _, p := range victims {
		refused[p] = true
	}
	w.storeFault(faults{refused: refused})
}

// crash has the first upstream of a kind die with its requests, and come back.
func (w *world) crash(list []*upstream) {
	u := list[0]
	if u.isDead() {
		return
	}
	u.link.Kill()
	u.stop()
	w.later(restartIn, func() {
		list[0] = w.startUpstream(u.id, u.entry.Service, u.born+1)
	})
}

// cutAnswers has every upstream cut its next answer.
func (w *world) cutAnswers() {
	for _, u := range append(append([]*upstream{}, w.chats...), w.tools...) {
		u.mu.Lock()
		u.breaks = true
		u.mu.Unlock()
	}
}

// forgetKeyed drops the records of the operator and the upstreams: the newest
// of each key stay.
func (w *world) forgetKeyed() {
	w.store.Trim(configurations, w.store.Len(configurations))
	w.store.Trim(upstreams, w.store.Len(upstreams))
	w.configure()
}

// silence drops the heartbeats of hosts for a time.
func (w *world) silence(victims ...*process) {
	for _, p := range victims {
		set := func(silent bool) {
			p.mu.Lock()
			p.silent = silent
			p.mu.Unlock()
		}
		set(true)
		w.later(faultFor, func() { set(false) })
	}
}

var rows = []row{
	{"entry host dies", func(w *world) { w.kill(w.currentHost()) }},
	{"other hosts die", func(w *world) { w.kill(w.others()...) }},
	{"all hosts die", func(w *world) { w.kill(w.live()...) }},
	{"entry host stands still", func(w *world) { w.pause(w.currentHost()) }},
	{"other hosts stand still", func(w *world) { w.pause(w.others()...) }},
	{"connections go silent", func(w *world) {
		for _, p := range w.live() {
			p.link.Forget()
		}
	}},
	{"heartbeats are lost", func(w *world) { w.silence(w.live()...) }},
	{"store is down", func(w *world) { w.storeFault(faults{down: true}) }},
	{"store refuses the entry host", func(w *world) { w.refuse(w.currentHost()) }},
	{"store refuses the other hosts", func(w *world) { w.refuse(w.others()...) }},
	{"store loses a partition", func(w *world) { w.storeFault(faults{partition: shards[0]}) }},
	{"store loses the other partition", func(w *world) { w.storeFault(faults{partition: shards[1]}) }},
	{"store loses calls", func(w *world) { w.storeFault(faults{loses: standin.LoseCall}) }},
	{"store loses answers", func(w *world) { w.storeFault(faults{loses: standin.LoseAnswer}) }},
	{"store does calls late", func(w *world) { w.storeFault(faults{loses: standin.DoLate}) }},
	{"store forgets its history", func(w *world) { w.forgetKeyed() }},
	{"engine dies", func(w *world) { w.crash(w.chats) }},
	{"service dies", func(w *world) { w.crash(w.tools) }},
	{"answers are cut", func(w *world) { w.cutAnswers() }},
	{"entry host is stopped", func(w *world) { w.leave(w.currentHost()) }},
	{"all hosts are replaced", func(w *world) { w.leave(w.live()...) }},
}
