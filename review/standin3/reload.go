package main

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/locator"
)

const (
	// reloadHosts and reloadModels are the hosts and the model runners of the sheet.
	reloadHosts  = 7
	reloadModels = 12
	// shards is the number of shards over which programs are divided, fullest the number of those
	// that one host is home of, and others the most that any other host is home of: which host is
	// home of a shard follows from the addresses, which differ from day to day.
	shards  = 24
	fullest = 7
	others  = 5
	// programTurns is the number of turns of a program, and thinkTime the pause between two.
	programTurns = 4
	thinkTime    = 60 * time.Millisecond
	// programsPerSecond is the sheet's rate of programs whose turns are kept, and inputBytes the
	// mean size of a request on its route. freeTurnsPerSecond is a part of the sheet's other turns.
	programsPerSecond  = 19.1
	inputBytes         = 17000
	freeTurnsPerSecond = 30
	// loadTime is how long the callers send before the fault.
	loadTime = 82 * time.Second
	// downTime is how long the hosts are down, and recovery what they may take afterwards.
	downTime = time.Second
	recovery = 12 * time.Second
	// lastPart is the end of the recovery in which other turns are looked at.
	lastPart = 4 * time.Second
	// goneOn is the number of programs that go on after the fault, and youngest and oldest
	// bound how long before the fault their last turns were answered.
	goneOn   = 120
	youngest = 100 * time.Millisecond
	oldest   = 30 * time.Second
	// goOnAfter is when the programs go on after the hosts are back.
	goOnAfter = 2 * time.Second
	// retryTime is the time between two tries of a turn, as the hosts name it in Retry-After.
	retryTime = time.Second
	// minTries is the number of tries after which the rule is broken.
	minTries = 5
	// inTouch is the time after their start from which hosts count as in touch.
	inTouch = 3 * time.Second
)

// answered is the last turn of a program that was answered whole.
type answered struct {
	id, program string
	at          time.Time
}

// load sends programs and other turns, and keeps what was answered. It is safe for concurrent use.
type load struct {
	r      *run
	filler string

	mu sync.Mutex
	// last has the last answered turn of each program.
	last map[string]answered
	// outcomes has the time and the success of each first turn and each other turn.
	outcomes []outcome
	programs atomic.Int64
	sent     atomic.Int64
	refused  atomic.Int64
}

// outcome is how a turn that begins a program, or belongs to none, ended.
type outcome struct {
	at     time.Time
	served bool
}

// input returns the input of a turn, which differs from turn to turn.
func (l *load) input(id string) string { return id + "\n" + l.filler[:inputBytes-len(id)-2] + "\n" }

// program sends the turns of one program.
func (l *load) program() {
	name := fmt.Sprintf("p%d", l.programs.Add(1))
	previous := ""
	for n := range programTurns {
		q := request{id: fmt.Sprintf("%s-t%d", name, n), path: "/kept/a", program: name, previous: previous}
		q.body = l.input(q.id)
		a := l.r.exchange(l.r.anyHost(), q)
		l.sent.Add(1)
		served := a.status == http.StatusOK && a.whole
		l.mu.Lock()
		if n == 0 {
			l.outcomes = append(l.outcomes, outcome{time.Now(), served})
		}
		if served {
			l.last[name] = answered{id: q.id, program: name, at: time.Now()}
		}
		l.mu.Unlock()
		if !served {
			l.refused.Add(1)
			return
		}
		previous = q.id
		time.Sleep(thinkTime)
	}
}

// free sends one turn that is not kept.
func (l *load) free(number int) {
	a := l.r.exchange(l.r.anyHost(), request{id: fmt.Sprintf("free-%d", number), path: "/free/a", body: "free"})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, outcome{time.Now(), a.status == http.StatusOK && a.whole})
}

// every calls f in a goroutine of its own, at a rate, until done is closed.
func every(perSecond float64, done <-chan struct{}, f func(number int)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-tick.C:
			go f(number)
		}
	}
}

// anyHost returns a random host.
func (r *run) anyHost() *host { return r.hosts[rand.IntN(len(r.hosts))] }

// suitsReload reports whether one host of a network is home of fullest shards, and each other host
// of at most others.
func suitsReload(network int) bool {
	var members descriptor.Members
	for n := range reloadHosts {
		members.Hosts = append(members.Hosts, descriptor.Host{ID: fmt.Sprintf("%s:%d", address(network, n), portPeers)})
	}
	view := locator.View{}.WithMembers(members)
	homes := make(map[string]int)
	for shard := range shards {
		h, _ := view.Home(fmt.Sprintf("shard/%d", shard), time.Now())
		homes[h.ID]++
	}
	counts := slices.Sorted(maps.Values(homes))
	last := len(counts) - 1
	return last > 0 && counts[last] == fullest && counts[last-1] <= others
}

// keptOverRestart checks that after a final fault, programs go on from turns that were kept.
func keptOverRestart(r *run) error {
	var models []*upstream
	for n := range reloadModels {
		models = append(models, &upstream{id: fmt.Sprintf("i-%d", n), service: "models", slots: 24})
	}
	r.suits = suitsReload
	if err := r.deploy(reloadHosts, configuration, models...); err != nil {
		return err
	}
	var filler strings.Builder
	for filler.Len() < inputBytes {
		fmt.Fprintf(&filler, "%016x", rand.Uint64())
	}
	l := &load{r: r, filler: filler.String(), last: make(map[string]answered)}
	done := make(chan struct{})
	defer close(done)
	go every(programsPerSecond, done, func(int) { l.program() })
	go every(freeTurnsPerSecond, done, l.free)
	time.Sleep(loadTime)
	r.record.printf("%d kept turns sent in %s, %d not served", l.sent.Load(), loadTime, l.refused.Load())
	if l.refused.Load()*100 > l.sent.Load() {
		return errors.New("turns failed before the fault")
	}
	fault := time.Now()
	if r.trouble {
		if err := r.restartAll(); err != nil {
			return err
		}
	}
	return l.goOn(fault, time.Now())
}

// restartAll kills the processes of all hosts and starts them again.
func (r *run) restartAll() error {
	for _, h := range r.hosts {
		r.signal(h, syscall.SIGKILL)
	}
	for _, h := range r.hosts {
		<-h.ended
	}
	time.Sleep(downTime)
	for _, h := range r.hosts {
		if err := r.start(h); err != nil {
			return err
		}
	}
	return nil
}

// goOn continues programs from turns that were answered before the fault. The hosts are back at
// the given time.
func (l *load) goOn(fault, back time.Time) error {
	var chosen []answered
	l.mu.Lock()
	for _, a := range l.last {
		if age := fault.Sub(a.at); age > youngest && age < oldest && len(chosen) < goneOn {
			chosen = append(chosen, a)
		}
	}
	l.mu.Unlock()
	l.r.record.printf("%d programs go on", len(chosen))
	end := back.Add(recovery)
	var mu sync.Mutex
	var broken []string
	var callers sync.WaitGroup
	for _, a := range chosen {
		callers.Go(func() {
			if detail := l.continueProgram(a, back, end); detail != "" {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, a.program)
				l.r.record.printf("%s", detail)
			}
		})
	}
	callers.Wait()
	served, all := l.servedBetween(end.Add(-lastPart), end)
	l.r.record.printf("of %d first turns and other turns in the last %s, %d were served", all, lastPart, served)
	if len(broken) == 0 {
		return nil
	}
	if served*5 < all*4 {
		return fmt.Errorf("%d programs could not go on, but other turns failed too", len(broken))
	}
	return &BrokenError{fmt.Sprintf("LOST: %d of %d programs could not go on by %s after the hosts were back, in %d tries or more",
		len(broken), len(chosen), recovery, minTries)}
}

// continueProgram sends a turn that continues one from before the fault until it is served. It
// returns a description if that has not happened by the end, and an empty text otherwise.
func (l *load) continueProgram(a answered, back, end time.Time) string {
	time.Sleep(time.Until(back.Add(goOnAfter)))
	tries := 0
	var got answer
	for n := 0; time.Now().Before(end); n++ {
		q := request{id: fmt.Sprintf("%s-again%d", a.program, n), path: "/kept/a", program: a.program, previous: a.id}
		q.body = l.input(q.id)
		began := time.Now()
		got = l.r.exchange(l.r.anyHost(), q)
		if got.status == http.StatusOK {
			return ""
		}
		if began.Sub(back) > inTouch {
			tries++
		}
		time.Sleep(retryTime)
	}
	if tries < minTries {
		return ""
	}
	return fmt.Sprintf("%s, answered whole at %.3f, is not continued in %d tries at hosts in touch; the last answer: %s: %s",
		a.id, l.r.record.since(a.at), tries, got, got.body)
}

// servedBetween counts the first turns and other turns that ended in a span of time, and those of
// them that were served.
func (l *load) servedBetween(from, to time.Time) (served, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.outcomes {
		if o.at.Before(from) || o.at.After(to) {
			continue
		}
		all++
		if o.served {
			served++
		}
	}
	return served, all
}
