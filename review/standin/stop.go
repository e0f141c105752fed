package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// chatRoutes is a configuration with one route of streams, with the figures of the sheets.
const chatRoutes = `{"version":%d,"routes":[
{"name":"chat","host":"pier.example","path_prefix":"/chat/","route_type":"stream","timeout_ms":4000,"slo_ms":200,"priority":0,"service":"models","attempts":1,"retain":%t,"retention_s":60,"session_affinity":true,"resumable":%t,"gap_target_ms":300}],
"services":[{"name":"models","health_check":"/health","max_conns":210,"protocol":"h1","tls":false,"engine":{"slots":24,"kv_capacity":657619,"kv_token_bytes":163840,"link_mbps":1400000.0,"moves":true,"backups":true,"tokens_per_event":18,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// stopEvents and stopPause make streams of 2.9 s, with pauses below the 300 ms that
	// the sheets allow.
	stopEvents = 14
	stopPause  = 205 * time.Millisecond
	// stopInterval is the time between two turns of the callers.
	stopInterval = 250 * time.Millisecond
	// directoryUses is how many times its time to live some callers keep an answer of the
	// directory.
	directoryUses = 3
)

// playStop stops one host as planned, while callers that keep their directory answer for
// three times its time to live go on to use it.
func playStop(d *deployment, trouble bool) (bool, error) {
	d.startStore(300*time.Second, fmt.Sprintf(chatRoutes, 1, false, false))
	for range 2 {
		if _, err := d.addUpstream("models", 24, func(u *upstream) {
			u.stream = streamOf(stopEvents, stopPause)
		}); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stopping := d.hosts[0]
	addresses, ttl := d.resolve(d.hosts[1])
	if len(addresses) != len(d.hosts) {
		return false, fmt.Errorf("the directory names %v", addresses)
	}
	resolvedAt := time.Now()
	d.record.say("the directory names %v for %s", addresses, ttl)
	if trouble {
		stopping.signal(syscall.SIGTERM)
		d.record.say("SIGTERM to host %d at %s", stopping.number, stopping.front())
	}
	stoppedAt := time.Now()
	turn := request{method: "POST", path: "/chat/1", body: "how long is the queue?", timeLimit: 4 * time.Second, header: map[string]string{
		"Citronpier-Model": "m", "Citronpier-Token-Count": "1460,576", "Citronpier-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660",
	}}
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	for time.Since(resolvedAt) < directoryUses*ttl-stopInterval {
		callers.Go(func() {
			a := turn.send(d.record, stopping.front())
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(stopInterval)
	}
	callers.Wait()
	return d.checkStop(answers, stoppedAt), nil
}

// streamOf returns the stream function of an upstream whose streams are all alike.
func streamOf(events int, pause time.Duration) streamFunc {
	return func(string) (int, time.Duration) { return events, pause }
}

// checkStop reports whether no request was cut that an upstream had been given. Requests
// that were sent no later than 3 s after SIGTERM may be cut in the last sixth of the grace
// period, and no request counts that reached its time limit.
func (d *deployment) checkStop(answers []answer, stoppedAt time.Time) bool {
	ran := make(map[string]bool)
	for _, u := range d.upstreams {
		for _, r := range u.allRuns() {
			ran[r.id] = true
		}
	}
	whole, refused, cut, excused := 0, 0, 0, 0
	for _, a := range answers {
		sentAfter, endedAfter := a.sentAt.Sub(stoppedAt), a.endedAt.Sub(stoppedAt)
		switch {
		case a.whole && a.status == 200 && a.events() == stopEvents:
			whole++
		case !ran[a.id]:
			refused++
		case isTimeout(a.err) || a.endedAt.Sub(a.sentAt) >= 4*time.Second || (sentAfter <= 3*time.Second && endedAfter >= grace*5/6):
			excused++
		default:
			cut++
			d.record.say("CUT: %s, sent %.2f s after the signal, ended %.2f s after it with status %d after %d of %d events: %v",
				a.id, sentAfter.Seconds(), endedAfter.Seconds(), a.status, a.events(), stopEvents, a.err)
		}
	}
	d.record.say("%d requests: %d answered whole, %d not given to an upstream, %d cut, %d cut and excused", len(answers), whole, refused, cut, excused)
	return cut == 0
}
