package forwarder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/granter"
)

// scarceAllowances has no credit before a time.
type scarceAllowances struct {
	mu    sync.Mutex
	since time.Time
	kinds []granter.Kind
}

func (a *scarceAllowances) Take(_ context.Context, r forwarder.AllowanceRequest, now time.Time) forwarder.AllowanceDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kinds = append(a.kinds, r.Kind)
	if left := a.since.Sub(now); left > 0 {
		return forwarder.AllowanceExceeded{Retry: left}
	}
	return forwarder.AllowanceTaken{}
}

func (*scarceAllowances) Return(string, granter.Credit) {}

func (*scarceAllowances) Expired(granter.Credit) bool { return false }

// A tool call that is refused for a credit that is due at once ends a program that is nearly done.
func TestCallOfARunningProgramWaitsForCredit(t *testing.T) {
	for after, want := range map[time.Duration]string{
		50 * time.Millisecond: "200",
		time.Minute:           "rate 429 no",
	} {
		f := newFixture()
		f.allowances = &scarceAllowances{since: time.Now().Add(after)}
		f.startOrganisations(t, descriptor.Once{}, f.startUpstream(t, "u", answerOK))
		r := withKey(request(), "a")
		r.Program = "p"
		got, _ := f.serve(t, r)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("credit after %s (-want +got):\n%s", after, diff)
		}
	}
}

// A turn of a running program that comes to another host counts as the beginning of a program.
func TestTurnAtAnotherHostContinuesItsProgram(t *testing.T) {
	f, allowances := newFixture(), &scarceAllowances{}
	f.allowances = allowances
	f.home.programUpstream = "u"
	f.startOrganisations(t, descriptor.Stream{}, f.startUpstream(t, "u", answerOK))
	r := withKey(request(), "a")
	r.Program = "p"
	f.serve(t, r)
	if diff := cmp.Diff([]granter.Kind{granter.Continuing}, allowances.kinds); diff != "" {
		t.Errorf("kinds (-want +got):\n%s", diff)
	}
}
