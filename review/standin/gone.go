package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// switchRoutes is a configuration with one route of requests that may run at most once.
const switchRoutes = `{"version":1,"routes":[
{"name":"switch","host":"pier.example","path_prefix":"/switch/","route_type":"unsafe","timeout_ms":2000,"slo_ms":250,"priority":2,"service":"app","attempts":1}],
"services":[{"name":"app","health_check":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// namedLimit is the Server-Limit of the one upstream.
	namedLimit = 20
	// switchInterval is the time between two requests of all callers.
	switchInterval = 16 * time.Millisecond
	// loadBefore is how long callers send requests before some leave: the hosts then know the
	// limit. loadLeaving is how long some leave.
	loadBefore  = 6 * time.Second
	loadLeaving = 5800 * time.Millisecond
	// leaveEvery is the number of callers of which three leave, which is a share of 0.375, and
	// leaveAfter how long after they have sent their request: within half of the objective.
	leaveEvery = 8
	leaveAfter = 40 * time.Millisecond
	// goneGrace is how long after a caller's close a request may still reach an upstream,
	// and goneFew how many may later than that.
	goneGrace = 500 * time.Millisecond
	goneFew   = 10
)

// playGone lets callers leave while an upstream in need names a limit.
func playGone(d *deployment, trouble bool) (bool, error) {
	d.startStore(300*time.Second, switchRoutes)
	u, err := d.addUpstream("app", 6, func(u *upstream) {
		u.work = 52 * time.Millisecond
		u.limit = func() float64 { return namedLimit }
	})
	if err != nil {
		return false, err
	}
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	leftAt, meanwhile := make(map[string]time.Time), 0
	var callers sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < loadBefore+loadLeaving; n++ {
		leaves := trouble && time.Since(began) > loadBefore && n%leaveEvery < 3
		if trouble && time.Since(began) > loadBefore {
			meanwhile++
		}
		address := d.hosts[n%len(d.hosts)].front()
		callers.Go(func() {
			r := request{method: "POST", path: "/switch/on", body: fmt.Sprintf("board %d on", n), timeLimit: 2 * time.Second}
			if !leaves {
				r.send(d.record, address)
				return
			}
			id, at := r.sendAndLeave(d.record, address)
			mu.Lock()
			defer mu.Unlock()
			leftAt[id] = at
		})
		time.Sleep(switchInterval)
	}
	callers.Wait()
	time.Sleep(2 * time.Second)
	late, early := 0, 0
	for _, r := range u.allRuns() {
		at, left := leftAt[r.id]
		switch after := r.arrivedAt.Sub(at); {
		case !left:
		case after > goneGrace:
			late++
			d.record.logf("LATE: %s reached the upstream %.3f s after its caller had closed the channel", r.id, after.Seconds())
		default:
			early++
		}
	}
	d.record.say("%d of %d callers left; %d of their requests reached the upstream within %s of it, %d later", len(leftAt), meanwhile, early, goneGrace, late)
	return late <= goneFew, nil
}

// sendAndLeave sends a request and closes the channel leaveAfter later. It returns when it
// was closed.
func (r request) sendAndLeave(rec *record, address string) (id string, leftAt time.Time) {
	id = newID()
	c, err := net.DialTimeout("tcp4", address, connectTimeout)
	if err != nil {
		return id, time.Now()
	}
	rec.logf("caller: %s %s %s to %s, leaves", id, r.method, r.path, address)
	_ = r.write(c, id)
	time.Sleep(leaveAfter)
	_ = c.Close()
	leftAt = time.Now()
	rec.logf("caller: %s has closed its channel", id)
	return id, leftAt
}
