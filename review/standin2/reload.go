package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["reload"] = playReload }

const (
	// historyTime is how long programs send turns before the fault, historyPerSecond how many
	// turns, and historyBytes their size. historyRetention is for how many seconds they are kept.
	historyTime      = 60 * time.Second
	historyPerSecond = 50
	historyBytes     = 48 << 10
	historyRetention = 20
	// downTime is how long the hosts are down, and recoveryTime the time that they have to recover.
	downTime     = time.Second
	recoveryTime = 12 * time.Second
	// fresh is how long before the fault a turn was answered at most that is continued after it,
	// and continued the number of such turns.
	fresh     = 2 * time.Second
	continued = 20
	// resumeAfter and resumeBefore bound when programs go on, after the hosts are back.
	resumeAfter, resumeBefore = time.Second, 8 * time.Second
	// againAfter and againRange set the pause before a refused turn is sent again.
	againAfter, againRange = 100 * time.Millisecond, 300 * time.Millisecond
	// chatPause is the time between two turns that are not kept, and lastTime the time at the end
	// in which four fifths of them have to be served.
	chatPause = 50 * time.Millisecond
	lastTime  = 4 * time.Second
)

// playReload lets programs run for some time. Then all hosts are killed and come back, and programs
// go on from turns that were answered shortly before.
func playReload(r *record, trouble bool) (verdict, error) {
	var models []*upstream
	for i := range 4 {
		models = append(models, &upstream{id: fmt.Sprintf("model-%d", i+1), service: modelService, zone: "zone-a", slots: 64, events: 4, pause: 20 * time.Millisecond})
	}
	st := newStore(true)
	d, err := newDeployment(hostSettings{hosts: 3, memoryMB: 244, descriptors: 8200, bounds: bounds()}, st, configuration(historyRetention), models...)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	t := &turns{record: r, upstreams: models, hosts: d.hosts, turnBytes: historyBytes}
	t.run(historyTime, time.Second*turnsOfProgram/historyPerSecond)
	held, _, _ := st.fill()
	r.printf("before the fault: %d turns answered whole, %d refused; the store holds %d MB", t.whole, t.refused, held/1e6)
	previous := t.fresh(time.Now())
	if len(previous) < continued {
		return verdict{}, fmt.Errorf("only %d turns were answered in the last %s", len(previous), fresh)
	}
	if trouble {
		if err := d.killAll(r); err != nil {
			return verdict{}, err
		}
	}
	s := &survivors{turns: t, back: time.Now()}
	s.play(previous[:continued])
	r.printf("turns that continue one that was answered before: %d, of which %d reached no upstream within %s; other turns in the last %s: %d, of which %d were served",
		continued, s.unreached, recoveryTime, lastTime, s.others, s.served)
	return verdict{s.unreached > 0 && 5*s.served >= 4*s.others, fmt.Sprintf("%d of %d turns that continue a kept turn reached no upstream within %s of the hosts' return, while %d of %d other turns were served in the last %s",
		s.unreached, continued, recoveryTime, s.served, s.others, lastTime)}, nil
}

// run begins programs for some time.
func (t *turns) run(length, pause time.Duration) {
	var programs sync.WaitGroup
	defer programs.Wait()
	pace := time.NewTicker(pause)
	defer pace.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-pace.C {
		programs.Go(t.program)
	}
}

// fresh returns the ids of the turns that were answered whole lately, the newest first.
func (t *turns) fresh(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for i := len(t.newest) - 1; i >= 0 && now.Sub(t.newest[i].at) < fresh; i-- {
		ids = append(ids, t.newest[i].id)
	}
	return ids
}

// killAll kills all hosts and starts them again.
func (d *deployment) killAll(r *record) error {
	for i, h := range d.hosts {
		r.printf("host %d is killed", i+1)
		_ = h.process.Process.Kill()
	}
	for _, h := range d.hosts {
		<-h.exited
	}
	time.Sleep(downTime)
	for i, h := range d.hosts {
		r.printf("host %d is started again", i+1)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// survivors are the requests after the fault.
type survivors struct {
	turns *turns
	// back is when the hosts were started again.
	back time.Time

	mu sync.Mutex
	// unreached counts the continued turns that reached no upstream. others counts the turns that
	// are not kept and were sent in the last lastTime, and served those of them that were served.
	unreached, others, served int
}

// play continues turns, each until it is answered or recoveryTime is over, and sends other turns.
func (s *survivors) play(previous []string) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for _, id := range previous {
		callers.Go(func() { s.proceed(id) })
	}
	for ; time.Since(s.back) < recoveryTime; time.Sleep(chatPause) {
		callers.Go(s.chat)
	}
}

// turn returns a turn of a new program.
func turn(path string) call {
	program := newID()
	return call{
		method: "POST", path: path + "next", id: newID(), timeLimit: turnLimit, body: newText(1 << 10),
		header: map[string]string{
			"Citronpier-Program-Id": program, "Citronpier-Session-Id": program, "Citronpier-Program-Deadline-Ms": "12000",
			"Citronpier-Token-Budget": "4608", "Citronpier-Token-Count": "1840,126", "Citronpier-Model": "m",
		},
	}
}

// proceed continues a turn with one of a new program.
func (s *survivors) proceed(previous string) {
	c := turn(streamPrefix)
	c.header["Citronpier-Previous-Turn"] = previous
	time.Sleep(resumeAfter + rand.N(resumeBefore-resumeAfter))
	began, tries, reached := time.Since(s.back), 0, false
	var last answer
	for time.Since(s.back) < recoveryTime && !reached {
		tries++
		c.id = newID()
		last = c.send(s.turns.hosts[rand.IntN(len(s.turns.hosts))].front)
		for _, u := range s.turns.upstreams {
			reached = reached || u.ran(c.id) > 0
		}
		if !reached {
			time.Sleep(againAfter + rand.N(againRange))
		}
	}
	s.turns.record.printf("turn that continues %s: reached an upstream: %t, in %d tries from %s to %s; last status %d, error %v",
		previous, reached, tries, began.Round(time.Millisecond), time.Since(s.back).Round(time.Millisecond), last.status, last.err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !reached {
		s.unreached++
	}
}

// chat sends a turn that is not kept.
func (s *survivors) chat() {
	sent := time.Since(s.back)
	a := turn(chatPrefix).send(s.turns.hosts[rand.IntN(len(s.turns.hosts))].front)
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent < recoveryTime-lastTime {
		return
	}
	s.others++
	if a.status == 200 && a.complete {
		s.served++
	}
}
