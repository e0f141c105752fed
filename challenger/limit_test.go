package challenger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// limitWindow is the time in which an upstream may get limitSlack times what its limit
	// allows, and limitExtra requests more.
	limitWindow = 4 * time.Second
	limitSlack  = 1.5
	limitExtra  = 5
	// limitKnownAfter is how long after an upstream first named its limit it has to be kept.
	limitKnownAfter = 3 * time.Second
	// limitLength is how long callers send.
	limitLength = 20 * time.Second
)

// limitCase is a way in which hosts send to upstreams that name a limit.
type limitCase struct {
	name string
	// limit is the requests a second that each of the limited upstreams takes.
	limit float64
	// limited is the number of upstreams of tools that name it; the others take all.
	limited, unlimited int
	// callers is the number of callers, each of which sends a call every interval.
	callers  int
	interval time.Duration
	// oneHost is true if all callers use the same host.
	oneHost bool
	// leastServed is the part of the calls, or of what the limits allow if that is less, that
	// has to be served.
	leastServed float64
	fault       func(fx *fixture)
}

var limitCases = []limitCase{
	{name: "all upstreams limited, many callers", limit: 3.8, limited: 2, callers: 20, interval: 200 * time.Millisecond, leastServed: 0.6},
	{name: "others take the rest", limit: 3.8, limited: 2, unlimited: 1, callers: 6, interval: 200 * time.Millisecond, leastServed: 0.95},
	{name: "one busy host", limit: 4, limited: 1, callers: 8, interval: 200 * time.Millisecond, oneHost: true, leastServed: 0.6},
	{name: "few calls", limit: 4, limited: 1, callers: 1, interval: 700 * time.Millisecond, leastServed: 0.95},
	{name: "less than one request a host", limit: 0.5, limited: 1, callers: 12, interval: 200 * time.Millisecond, leastServed: 0.3},
	{
		name: "hosts are replaced", limit: 3.8, limited: 2, callers: 20, interval: 200 * time.Millisecond, leastServed: 0.3,
		fault: func(fx *fixture) { fx.stopGracefully(fx.live()[0]) },
	},
	{
		name: "a host dies", limit: 3.8, limited: 2, callers: 20, interval: 200 * time.Millisecond, leastServed: 0.3,
		fault: func(fx *fixture) { fx.kill(fx.live()[0]) },
	},
}

func TestNamedLimitOfUpstreamIsExceededByAllHostsTogether(t *testing.T) {
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runLimitCase(t, c) })
		})
	}
}

func runLimitCase(t *testing.T, c limitCase) {
	fx := newFixture(t)
	defer fx.stop()
	for len(fx.tools) < c.limited+c.unlimited {
		fx.tools = append(fx.tools, fx.startUpstream(fmt.Sprint("tool", len(fx.tools)), "tool", 1))
	}
	for _, u := range fx.tools[c.limited+c.unlimited:] {
		gone := u.entry.WithLeaving(true)
		gone.HeartbeatSequence++
		fx.putKeyed(upstreams, gone.ID, gone)
	}
	time.Sleep(time.Second)
	for _, u := range fx.tools[:c.limited] {
		u.setLimit(c.limit)
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limitLength)
	defer cancel()
	if c.fault != nil {
		time.AfterFunc(limitLength/2, func() { c.fault(fx) })
	}
	var mu sync.Mutex
	sent, served := 0, 0
	var callers sync.WaitGroup
	for n := range c.callers {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				live := fx.live()
				p := live[0]
				if !c.oneHost {
					p = live[(n+i)%len(live)]
				}
				got := fx.send(p, request(fmt.Sprintf("limit%d.%d", n, i), "/once/x", ""))
				mu.Lock()
				sent++
				if got.complete {
					served++
				}
				mu.Unlock()
				time.Sleep(c.interval)
			}
		})
	}
	callers.Wait()
	for _, u := range fx.tools[:c.limited] {
		u.checkLimit(t, began.Add(limitKnownAfter))
	}
	owed := float64(sent)
	if c.unlimited == 0 {
		owed = min(owed, c.limit*float64(c.limited)*limitLength.Seconds())
	}
	t.Logf("%d of %d calls served, %.0f owed", served, sent, owed)
	if float64(served) < c.leastServed*owed {
		t.Errorf("%d of %d calls were served, want %.0f at least", served, sent, c.leastServed*owed)
	}
}

// setLimit makes the upstream name a limit in its answers.
func (u *upstream) setLimit(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = perSecond
}

// checkLimit checks the requests that the upstream got in each limitWindow from a moment on.
func (u *upstream) checkLimit(t *testing.T, from time.Time) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	allowed := int(limitSlack*u.limit*limitWindow.Seconds()) + limitExtra
	for first, at := range u.arrivals {
		count := 0
		for _, later := range u.arrivals[first:] {
			if later.Sub(at) < limitWindow {
				count++
			}
		}
		if !at.Before(from) && count > allowed {
			t.Errorf("%s names a limit of %g requests a second and got %d in 4 s, allowed %d", u.id, u.limit, count, allowed)
			return
		}
	}
}
