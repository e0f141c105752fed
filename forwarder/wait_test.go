package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/isolator"
)

// answerLimited answers and names a limit of two requests a second.
func answerLimited(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: 2\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
	return true
}

// quarantine makes the isolator count three crashes of a request.
func (f *fixture) quarantine(r descriptor.Request, now time.Time) {
	for n := range 3 {
		ago := time.Duration(3-n) * time.Second
		f.isolator.Learn(isolator.Report{
			Fingerprint: isolator.NewRequestFingerprint(r), Crash: fmt.Sprint("crash", n), Ran: time.Second / 2, Ago: ago,
		}, now)
	}
}

// sendAll serves requests at the same time, and calls change shortly after. It returns the
// number of requests that reached upstreams before and after, and the outcomes.
func (f *fixture) sendAll(ctx context.Context, t *testing.T, count int, change func(r descriptor.Request)) (before, after int, outcomes map[string]int) {
	t.Helper()
	const settled = 100 * time.Millisecond
	outcomes = make(map[string]int)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := range count {
		callers.Go(func() {
			r := request()
			r.ID = fmt.Sprint("waiting", n)
			r.Body = []byte("waiting")
			var s sink
			got := "answered"
			if o, ok := f.forwarder.Serve(ctx, r, &s, time.Now()).(forwarder.Refused); ok {
				got = fmt.Sprint(o.Refusal.Reason, " ", o.Refusal.Run)
			}
			mu.Lock()
			defer mu.Unlock()
			outcomes[got]++
		})
	}
	time.Sleep(settled)
	arrived, _ := f.received()
	before = len(arrived)
	waiting := request()
	waiting.Body = []byte("waiting")
	change(waiting)
	callers.Wait()
	arrived, _ = f.received()
	return before, len(arrived) - before, outcomes
}

// A request waits for the limit of an upstream, or for a connection, and meanwhile something
// happens for which it must not be sent.
func TestRequestIsSentAfterWaitThatMadeItUnwanted(t *testing.T) {
	const waiting = 12
	for _, c := range []struct {
		name   string
		change func(f *fixture, r descriptor.Request, leave context.CancelFunc)
		want   string
	}{
		{"the caller leaves", func(_ *fixture, _ descriptor.Request, leave context.CancelFunc) { leave() }, "gone no"},
		{"the host stops", func(f *fixture, _ descriptor.Request, _ context.CancelFunc) { f.stopping.Store(true) }, "leaving no"},
		{"the request is quarantined", func(f *fixture, r descriptor.Request, _ context.CancelFunc) { f.quarantine(r, time.Now()) }, "quarantine no"},
	} {
		for kindName, kind := range map[string]descriptor.Kind{"once": descriptor.Once{}, "idempotent": descriptor.Idempotent{}, "stream": descriptor.Stream{}} {
			t.Run(c.name+", "+kindName+", limit", func(t *testing.T) {
				t.Parallel()
				f := newFixture()
				f.start(t, kind, 1, f.startUpstream(t, "u", answerLimited))
				f.serve(t, request())
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				before, after, outcomes := f.sendAll(ctx, t, waiting, func(r descriptor.Request) { c.change(f, r, leave) })
				limited := outcomes["limited no"]
				if diff := cmp.Diff([]int{0, 1 + waiting - before - limited}, []int{after, outcomes[c.want]}); diff != "" || before == 1+waiting {
					t.Errorf("%d sent before, outcomes %v; sent after, outcomes %q (-want +got):\n%s", before-1, outcomes, c.want, diff)
				}
			})
			t.Run(c.name+", "+kindName+", connection", func(t *testing.T) {
				t.Parallel()
				f := newFixture()
				f.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := exchanger.NewDial(exchanger.UnackedUpstream)(ctx, network, address)
					time.Sleep(300 * time.Millisecond)
					return conn, err
				}
				f.start(t, kind, 1, f.startUpstream(t, "u", answerOK))
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				before, after, outcomes := f.sendAll(ctx, t, waiting, func(r descriptor.Request) { c.change(f, r, leave) })
				if diff := cmp.Diff([]int{0, 0, waiting}, []int{before, after, outcomes[c.want]}); diff != "" {
					t.Errorf("outcomes %v; sent before, sent after, outcomes %q (-want +got):\n%s", outcomes, c.want, diff)
				}
			})
		}
	}
}
