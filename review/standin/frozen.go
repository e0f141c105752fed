package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// history is how long the store keeps records.
	history = 20 * time.Second
	// freeze is how long a host stands still: within the 4.0 s of the site file.
	freeze = 3800 * time.Millisecond
	// frozenPrograms is the number of programs that begin during the freeze.
	frozenPrograms = 16
	// detection is the time after which the other hosts have noticed the freeze.
	detection = 1500 * time.Millisecond
	// toolTime is how long the programs wait for their tools: shorter than the 60 s for
	// which their turns are kept.
	toolTime = 26 * time.Second
)

// playFrozen freezes one host for a while. Programs that begin meanwhile continue later.
func playFrozen(d *deployment, trouble bool) (bool, error) {
	d.startStore(history, fmt.Sprintf(chatRoutes, 1, true, false))
	for range 2 {
		if _, err := d.addUpstream("models", 24, func(u *upstream) { u.stream = streamOf(5, 20*time.Millisecond) }); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	// The hosts have read all partitions by then.
	time.Sleep(6 * time.Second)
	frozen := d.hosts[0]
	stoppedAt := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		d.record.say("host %d stands still for %s", frozen.number, freeze)
	}
	time.Sleep(detection)
	first := make([]answer, frozenPrograms)
	var callers sync.WaitGroup
	for n := range first {
		callers.Go(func() { first[n] = d.turn(n, "", d.hosts[1+n%2]) })
	}
	callers.Wait()
	time.Sleep(time.Until(stoppedAt.Add(freeze)))
	frozen.signal(syscall.SIGCONT)
	d.record.say("host %d goes on after %.3f s", frozen.number, time.Since(stoppedAt).Seconds())
	d.record.say("%d programs have begun; their tools run for %s", frozenPrograms, toolTime)
	time.Sleep(toolTime)
	lost, continued, other := 0, 0, 0
	for n, before := range first {
		if before.status != 200 || !before.whole {
			other++
			continue
		}
		// A new channel: the caller has picked another address.
		a := d.turn(n, before.id, d.hosts[2-n%2])
		age := a.endedAt.Sub(before.endedAt)
		switch a.status {
		case 404, 410:
			lost++
			d.record.say("LOST: turn %s, answered whole %.1f s before and kept for 60 s, is answered %d", before.id, age.Seconds(), a.status)
		case 200:
			continued++
		default:
			other++
		}
	}
	d.record.say("%d programs: %d continued, %d turns lost, %d other answers", frozenPrograms, continued, lost, other)
	if continued+lost == 0 {
		return false, fmt.Errorf("no program has got an answer")
	}
	return lost == 0, nil
}

// turn sends a turn of the program with a number, which continues the turn previous.
func (d *deployment) turn(program int, previous string, h *host) answer {
	r := request{method: "POST", path: "/chat/1", body: fmt.Sprintf("words of program %d\n", program), timeLimit: 4 * time.Second, header: map[string]string{
		"Citronpier-Model": "m", "Citronpier-Token-Count": "1460,576", "Citronpier-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660",
		"Citronpier-Program-Id": fmt.Sprintf("p%x", program), "Citronpier-Session-Id": fmt.Sprintf("s%x", program),
		"Citronpier-Program-Deadline-Ms": "50000", "Citronpier-Token-Budget": "4608",
	}}
	if previous != "" {
		r.header["Citronpier-Previous-Turn"] = previous
	}
	return r.send(d.record, h.front())
}
