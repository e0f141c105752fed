package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/granter"
	"github.com/citronpier/citronpier/messenger"
)

// fakeAllowances decides each request in the same way and records the requests.
type fakeAllowances struct {
	decision forwarder.AllowanceDecision
	expired  bool

	mu       sync.Mutex
	kinds    []granter.Kind
	returned []string
}

func (a *fakeAllowances) Take(_ context.Context, r forwarder.AllowanceRequest, _ time.Time) forwarder.AllowanceDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kinds = append(a.kinds, r.Kind)
	return a.decision
}

func (a *fakeAllowances) Return(organisation string, _ granter.Credit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returned = append(a.returned, organisation)
}

func (a *fakeAllowances) Expired(granter.Credit) bool { return a.expired }

// organisations returns a configuration with a route of the given kind, the organisation "a" with
// a limit and "b" without one, whose keys are their names with "key-" before, except for the
// revoked one.
func organisations(kind descriptor.Kind, revoked string) descriptor.Configuration {
	var b descriptor.OrganisationBuilder
	b.Require()
	for _, o := range []descriptor.Organisation{{Name: "a", PerSecond: 5, Burst: 1}, {Name: "b"}} {
		b.Add(o)
		if o.Name != revoked {
			b.AddKey(o.Name, "key-"+o.Name)
		}
	}
	return descriptor.Configuration{
		Version: 1,
		Routes: []descriptor.Route{{
			Name: "r", Host: "h", Prefix: "/a/", Kind: kind, Timeout: 5 * time.Second, Attempts: 1,
			Split: []descriptor.Share{{Service: "s", Weight: 1}},
		}},
		Services:      map[string]descriptor.Service{"s": {Name: "s", TokensPerEvent: 18}},
		Organisations: b.Build(),
	}
}

// startOrganisations creates the Forwarder for a configuration with organisations.
func (f *fixture) startOrganisations(t testing.TB, kind descriptor.Kind, upstreams ...descriptor.Upstream) {
	for i, u := range upstreams {
		f.list = f.list.WithUpstream(u, int64(i), time.Now())
	}
	c := organisations(kind, "")
	f.startWith(t, func() descriptor.Configuration { return c })
}

// withKey returns the request with the key of an organisation.
func withKey(r descriptor.Request, organisation string) descriptor.Request {
	r.Key = descriptor.NewKeyDigest("key-" + organisation)
	return r
}

// TestRequestsWithoutCreditAreNotSent guards against requests that run without a credit, and
// against statuses that hide why.
func TestRequestsWithoutCreditAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name     string
		decision forwarder.AllowanceDecision
		expired  bool
		want     string
		retry    [2]time.Duration
	}{
		{"exceeded", forwarder.AllowanceExceeded{Retry: 2 * time.Second}, false, "rate 429 no", [2]time.Duration{2 * time.Second, 4 * time.Second}},
		{"unknown", forwarder.AllowanceUnknown{Cause: context.DeadlineExceeded}, false, "home 503 no", [2]time.Duration{300 * time.Millisecond, 301 * time.Millisecond}},
		{"expired", forwarder.AllowanceTaken{}, true, "home 503 no", [2]time.Duration{300 * time.Millisecond, 301 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.allowances = &fakeAllowances{decision: c.decision, expired: c.expired}
			f.startOrganisations(t, descriptor.Once{}, f.startUpstream(t, "u", answerOK))
			o, ok := f.forwarder.Serve(t.Context(), withKey(request(), "a"), &sink{}, time.Now()).(forwarder.Refused)
			if !ok {
				t.Fatal("the request was not refused")
			}
			got := fmt.Sprint(o.Refusal.Reason, " ", o.Refusal.Reason.Status(), " ", o.Refusal.Run)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
			if o.Refusal.Retry < c.retry[0] || o.Refusal.Retry >= c.retry[1] {
				t.Errorf("retry after %s, want %v", o.Refusal.Retry, c.retry)
			}
			if arrived, _ := f.received(); len(arrived) > 0 {
				t.Errorf("the upstream received %v", arrived)
			}
		})
	}
}

// TestCreditsOfUnsentRequestsAreReturned guards against credits that are lost with requests that
// no upstream received, and against those of sent requests that count twice.
func TestCreditsOfUnsentRequestsAreReturned(t *testing.T) {
	for _, upstreams := range []int{0, 1} {
		f, allowances := newFixture(), &fakeAllowances{decision: forwarder.AllowanceTaken{}}
		f.allowances = allowances
		var list []descriptor.Upstream
		for range upstreams {
			list = append(list, f.startUpstream(t, "u", answerOK))
		}
		f.startOrganisations(t, descriptor.Once{}, list...)
		f.serve(t, withKey(request(), "a"))
		f.serve(t, withKey(request(), "b"))
		if len(allowances.returned) != 1-upstreams || len(allowances.kinds) != 1 {
			t.Errorf("%d upstreams: returned %v, took %v", upstreams, allowances.returned, allowances.kinds)
		}
	}
}

// TestKindsOfRequests guards against tool calls and later turns that are refused like beginnings
// of programs.
func TestKindsOfRequests(t *testing.T) {
	inProgram := func(program, previous, lastEvent string) descriptor.Request {
		r := withKey(request(), "a")
		r.Program, r.Previous, r.LastEvent, r.Resumes = program, previous, lastEvent, lastEvent
		return r
	}
	for _, c := range []struct {
		name     string
		kind     descriptor.Kind
		requests []descriptor.Request
		want     []granter.Kind
	}{
		{
			"turns",
			descriptor.Stream{Resumable: true},
			[]descriptor.Request{inProgram("p", "", ""), inProgram("p", "", ""), inProgram("q", "turn", ""), inProgram("r", "", "7"), inProgram("", "", "")},
			[]granter.Kind{granter.Beginning, granter.Continuing, granter.Continuing, granter.Continuing, granter.Single},
		},
		{
			"tool calls",
			descriptor.Idempotent{},
			[]descriptor.Request{inProgram("p", "", ""), inProgram("", "", "")},
			[]granter.Kind{granter.Continuing, granter.Single},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, allowances := newFixture(), &fakeAllowances{decision: forwarder.AllowanceTaken{}}
			f.allowances = allowances
			f.home.bound = make(chan *messenger.BindRequest, len(c.requests))
			upstream := f.startUpstream(t, "u", answerOK)
			f.home.build = &messenger.Build{Service: upstream.Service, Version: upstream.Version}
			f.startOrganisations(t, c.kind, upstream)
			for _, r := range c.requests {
				f.serve(t, r)
			}
			if diff := cmp.Diff(c.want, allowances.kinds); diff != "" {
				t.Errorf("kinds (-want +got):\n%s", diff)
			}
		})
	}
}

// beginRecorder records the requests that reserve budget, and calls a function in each.
type beginRecorder struct {
	*fakeHome
	begun  []*messenger.BeginRequest
	during func()
}

func (h *beginRecorder) Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error) {
	h.begun = append(h.begun, r)
	if h.during != nil {
		h.during()
	}
	return h.fakeHome.Begin(ctx, r)
}

// TestHistoriesStayWithinAnOrganisation guards against a turn that continues a turn of another
// organisation, whose ids callers can choose.
func TestHistoriesStayWithinAnOrganisation(t *testing.T) {
	f := newFixture()
	home := &beginRecorder{fakeHome: f.home}
	f.homes = home
	f.startOrganisations(t, retained(), f.startUpstream(t, "u", streamEvents(0)))
	first := withKey(turnRequest(), "a")
	first.ID, first.Previous = "turn", ""
	f.serve(t, first)
	for _, organisation := range []string{"a", "b"} {
		r := withKey(turnRequest(), organisation)
		r.ID, r.Previous = "next-"+organisation, "turn"
		f.serve(t, r)
	}
	_, bodies := f.received()
	if diff := cmp.Diff([]string{"new", "newd1\nd2\nd3\nnew", "new"}, bodies); diff != "" {
		t.Errorf("bodies at the upstream (-want +got):\n%s", diff)
	}
	programs, previous := make(map[string]bool), make(map[string]bool)
	for _, r := range home.begun[1:] {
		programs[r.GetProgram()], previous[r.GetPrevious()] = true, true
	}
	if len(programs) != 2 || len(previous) != 2 {
		t.Errorf("programs %v and previous turns %v are shared", programs, previous)
	}
}

// TestKeyRevokedDuringAWait guards against a request that runs although its key was revoked while
// it waited, or whose configuration became too old meanwhile.
func TestKeyRevokedDuringAWait(t *testing.T) {
	for _, c := range []struct {
		name, revoked string
		age           time.Duration
		want          string
	}{
		{"revoked", "a", 0, "key 401 no"},
		{"too old", "", time.Minute, "stale 503 no"},
		{"kept", "b", 0, "200"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			var revoked, age atomic.Value
			revoked.Store("")
			age.Store(time.Duration(0))
			f.configurationAge = func() time.Duration { return age.Load().(time.Duration) }
			f.homes = &beginRecorder{fakeHome: f.home, during: func() {
				revoked.Store(c.revoked)
				age.Store(c.age)
			}}
			f.list = f.list.WithUpstream(f.startUpstream(t, "u", streamEvents(0)), 0, time.Now())
			f.startWith(t, func() descriptor.Configuration {
				return organisations(descriptor.Stream{Retain: true, Retention: time.Minute}, revoked.Load().(string))
			})
			r := withKey(turnRequest(), "a")
			r.Previous = ""
			outcome, body := f.serve(t, r)
			if diff := cmp.Diff(c.want, outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if arrived, _ := f.received(); c.want != "200" && (len(arrived) > 0 || body != "") {
				t.Errorf("the upstream received %v and the caller %q", arrived, body)
			}
		})
	}
}

// TestLinesOfDeniedRequests guards against log lines that lack what a refusal was decided from, and
// against a caller that fills the log with refused requests.
func TestLinesOfDeniedRequests(t *testing.T) {
	f := newFixture()
	var log bytes.Buffer
	f.logger = zerolog.New(&log)
	f.allowances = &fakeAllowances{decision: forwarder.AllowanceExceeded{Retry: time.Second, Age: 40 * time.Millisecond}}
	f.configurationAge = func() time.Duration { return 70 * time.Millisecond }
	f.startOrganisations(t, descriptor.Once{}, f.startUpstream(t, "u", answerOK))
	f.serve(t, withKey(request(), "a"))
	f.serve(t, withKey(request(), "other"))
	lines := strings.SplitAfter(log.String(), "\n")
	limited := fmt.Sprintf(`"key":%q`, descriptor.NewKeyDigest("key-a").Short())
	for i, want := range [][]string{
		{`"reason":"rate"`, `"allowance":"exceeded"`, `"allowance_age_ms":40`, `"config_age_ms":70`, limited},
		{`"reason":"key"`, `"config_age_ms":70`, `"key":`},
	} {
		for _, part := range want {
			if !strings.Contains(lines[i], part) {
				t.Errorf("line %q lacks %s", lines[i], part)
			}
		}
	}
	log.Reset()
	const requests = 100
	for range requests {
		f.serve(t, withKey(request(), "a"))
	}
	if n := strings.Count(log.String(), "\n"); n > requests/2 {
		t.Errorf("%d lines for %d requests", n, requests)
	}
}
