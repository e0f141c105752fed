package citronpier

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/authenticator"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/granter"
	"github.com/citronpier/citronpier/internal/uptime"
	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
)

// hostDownError reports a call to a host that is down.
type hostDownError struct{}

func (hostDownError) Error() string { return "host is down" }

// allowanceHosts are hosts in one process that call each other directly.
type allowanceHosts struct {
	mu sync.Mutex
	// hosts are all hosts, and down those that answer no calls. gone are the hosts that the
	// others know to be down.
	hosts      map[string]*allowances
	down, gone map[string]bool
	// delay is the time that a call takes.
	delay time.Duration
}

// client calls a host unless it is down.
type client struct {
	hosts *allowanceHosts
	to    string
}

func (c client) Take(ctx context.Context, r *messenger.TakeRequest) (*messenger.TakeReply, error) {
	c.hosts.mu.Lock()
	down, to := c.hosts.down[c.to], c.hosts.hosts[c.to]
	c.hosts.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, hostDownError{}
	}
	time.Sleep(c.hosts.delay)
	return to.answer(r), nil
}

// change changes which hosts are down.
func (h *allowanceHosts) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// homeElsewhere returns an organisation whose home is not the given host.
func (h *allowanceHosts) homeElsewhere(t *testing.T, host string) string {
	t.Helper()
	for name := range h.hosts[host].config.Organisations().All() {
		if home, _ := h.view(time.Now()).Home(organisationKey(name), time.Now()); home.ID != host {
			return name
		}
	}
	t.Fatalf("all organisations have their home at %s", host)
	return ""
}

// view returns the hosts that are not known to be gone.
func (h *allowanceHosts) view(time.Time) locator.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	var members descriptor.Members
	for i := range len(h.hosts) {
		if id := fmt.Sprint("h", i); !h.gone[id] {
			members.Hosts = append(members.Hosts, descriptor.Host{ID: id, Peer: id})
		}
	}
	return locator.View{}.WithMembers(members)
}

// organisationsOf returns the given number of organisations with a limit of 100 requests a second.
func organisationsOf(count int) descriptor.Organisations {
	var b descriptor.OrganisationBuilder
	b.Require()
	for i := range count {
		name := fmt.Sprint("o", i)
		b.Add(descriptor.Organisation{Name: name, PerSecond: 100, Burst: 50})
		b.AddKey(name, "key-"+name)
	}
	return b.Build()
}

// startAllowances starts hosts that have run for long.
func startAllowances(tb testing.TB, count, organisations int) *allowanceHosts {
	tb.Helper()
	h := &allowanceHosts{hosts: make(map[string]*allowances), down: make(map[string]bool), gone: make(map[string]bool)}
	all := organisationsOf(organisations)
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprint("h", i))
	}
	for _, id := range ids {
		h.hosts[id] = newAllowances(allowancesConfig{
			Self: id, Run: "run", Bounds: AllowanceBounds{Excess: 0.1, Slack: 20},
			Organisations: func() descriptor.Organisations { return all }, Hosts: h.view,
			Open:   func(d descriptor.Host) messenger.Allowances { return client{hosts: h, to: d.ID} },
			Uptime: uptime.Now, Background: tb.Context(), Logger: zerolog.Nop(),
		})
		h.hosts[id].setRegistered(ids)
	}
	for _, a := range h.hosts {
		go func() { _ = a.run(tb.Context()) }()
	}
	return h
}

// take asks for a credit of an organisation at a host.
func (h *allowanceHosts) take(ctx context.Context, host, organisation string) forwarder.AllowanceDecision {
	o, _ := h.hosts[host].config.Organisations().Organisation(organisation)
	return h.hosts[host].Take(ctx, forwarder.AllowanceRequest{Organisation: o}, time.Now())
}

// TestNextHostGrantsWhileHomeIsDown guards against organisations that are refused until all hosts
// know that their home is down, and against waits of more than allowanceWait.
func TestNextHostGrantsWhileHomeIsDown(t *testing.T) {
	t.Parallel()
	h := startAllowances(t, 3, 1)
	home, _ := h.view(time.Now()).Home(organisationKey("o0"), time.Now())
	h.change(func() { h.down[home.ID] = true })
	for id := range h.hosts {
		if id == home.ID {
			continue
		}
		began := time.Now()
		d := h.take(t.Context(), id, "o0")
		if _, ok := d.(forwarder.AllowanceTaken); !ok {
			t.Errorf("host %s: %#v", id, d)
		}
		if took := time.Since(began); took > 2*allowanceWait {
			t.Errorf("host %s: request waited %s", id, took)
		}
	}
}

// TestNoHomeReached guards against requests that wait without bound, or run, while no host answers.
func TestNoHomeReached(t *testing.T) {
	t.Parallel()
	h := startAllowances(t, 2, 20)
	name := h.homeElsewhere(t, "h0")
	h.change(func() { h.down["h1"], h.gone["h0"] = true, true }) // h0 is stopping
	began := time.Now()
	d := h.take(t.Context(), "h0", name)
	if _, ok := d.(forwarder.AllowanceUnknown); !ok {
		t.Errorf("%#v", d)
	}
	if took := time.Since(began); took > 4*allowanceWait {
		t.Errorf("request waited %s", took)
	}
}

// TestWaitingRequestsShareACall guards against a call for each request.
func TestWaitingRequestsShareACall(t *testing.T) {
	t.Parallel()
	h := startAllowances(t, 3, 20)
	h.delay = 20 * time.Millisecond
	name := h.homeElsewhere(t, "h0")
	const requests = 30
	var wait sync.WaitGroup
	for range requests {
		wait.Go(func() { h.take(t.Context(), "h0", name) })
	}
	wait.Wait()
	a := h.hosts["h0"]
	a.mu.Lock()
	defer a.mu.Unlock()
	if calls := a.number; calls > requests/2 {
		t.Errorf("%d calls for %d requests", calls, requests)
	}
}

// TestFieldsOfMessagesArePassedOn guards against a field of a claim or a grant that is lost.
func TestFieldsOfMessagesArePassedOn(t *testing.T) {
	h := startAllowances(t, 1, 1)
	a := h.hosts["h0"]
	const waiting = 500
	reply := a.answer(&messenger.TakeRequest{Host: "x", Incarnation: "r", Number: 1, Claims: []*messenger.Claim{
		{Organisation: "o0", Waiting: waiting, Beginning: waiting, Single: waiting, Held: 1},
	}})
	g := reply.GetGrants()[0]
	if g.GetCredits() == 0 || g.GetCredits() == waiting || g.GetRetry() == 0 || g.GetRetryBeginning() == 0 || g.GetRetrySingle() == 0 || !g.GetShort() || g.GetElsewhere() {
		t.Errorf("grant %v", g)
	}
}

// filled returns hosts, one of which has credits of an organisation.
func filled(tb testing.TB) (*allowances, descriptor.Organisations) {
	a := startAllowances(tb, 1, 5000).hosts["h0"]
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.config.Organisations()
	o, _ := all.Organisation("o7")
	up := a.config.Uptime()
	a.pool("o7").Arrive(a.terms(o), up)
	const hour = time.Hour
	a.pool("o7").Settle(granter.Grant{Credits: 1 << 40}, up+hour, up)
	return a, all
}

// requestWithKey is what a request with a key costs at its host beside the rest of its way.
func requestWithKey(ctx context.Context, a *allowances, c descriptor.Configuration, key string) bool {
	digest := descriptor.NewKeyDigest(key)
	policy := authenticationPolicy(0)
	v, ok := policy.Authenticate(c, descriptor.Route{}, digest, 0).(authenticator.Accepted)
	if !ok {
		return false
	}
	_, ok = a.Take(ctx, forwarder.AllowanceRequest{Organisation: v.Organisation}, time.Now()).(forwarder.AllowanceTaken)
	return ok
}

// TestAllocationsOfARequestWithAKey guards against a request with a key that costs more than two
// allocations while the host holds credits.
func TestAllocationsOfARequestWithAKey(t *testing.T) {
	a, all := filled(t)
	c := descriptor.Configuration{Organisations: all}
	if n := testing.AllocsPerRun(1000, func() {
		if !requestWithKey(t.Context(), a, c, "key-o7") {
			t.Fatal("no credit")
		}
	}); n > 2 {
		t.Errorf("%g allocations", n)
	}
}

// BenchmarkRequestWithKey measures what a request costs at its host for its key and its credit,
// with 5,000 organisations.
func BenchmarkRequestWithKey(b *testing.B) {
	a, all := filled(b)
	c := descriptor.Configuration{Organisations: all}
	b.ReportAllocs()
	for b.Loop() {
		if !requestWithKey(b.Context(), a, c, "key-o7") {
			b.Fatal("no credit")
		}
	}
}
