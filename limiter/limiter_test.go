package limiter_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/limiter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestQuotaRate(t *testing.T) {
	var u limiter.Usage
	q := limiter.Quota{Rate: 20, Hosts: 2}
	admitted := 0
	for ms := range 2000 {
		if _, ok := u.Begin(q, start.Add(time.Duration(ms)*time.Millisecond)).(limiter.Admitted); ok {
			admitted++
			u.End()
		}
	}
	// This host's half of the rate is 10 calls per second. In 2 s the bucket gives
	// its burst of 10 calls, and 19 more as it refills.
	if diff := cmp.Diff(29, admitted); diff != "" {
		t.Errorf("admitted (-want +got):\n%s", diff)
	}
}

func TestQuotaRunning(t *testing.T) {
	var u limiter.Usage
	q := limiter.Quota{MaxRunning: 4, Hosts: 2}
	var got []limiter.Decision
	for range 3 {
		got = append(got, u.Begin(q, start))
	}
	u.End()
	got = append(got, u.Begin(q, start))
	want := []limiter.Decision{limiter.Admitted{}, limiter.Admitted{}, limiter.QuotaExceeded{Retry: time.Second}, limiter.Admitted{}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
}

func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name string
		a    limiter.Admission
		want limiter.Decision
	}{
		{"room", limiter.Admission{Waiting: 69, OwnWaiting: 69, MaxWaiting: 100}, limiter.Admitted{}},
		{"new program in the reserve", limiter.Admission{Waiting: 70, OwnWaiting: 70, MaxWaiting: 100}, limiter.QueueFull{Retry: time.Second}},
		{"running program in the reserve", limiter.Admission{Waiting: 70, OwnWaiting: 70, MaxWaiting: 100, Begun: true}, limiter.Admitted{}},
		{"full", limiter.Admission{Waiting: 100, OwnWaiting: 100, MaxWaiting: 100, Begun: true, Wait: 3 * time.Second}, limiter.QueueFull{Retry: 3 * time.Second}},
		{"filled by another", limiter.Admission{Waiting: 100, OwnWaiting: 34, Organisations: 2, MaxWaiting: 100}, limiter.Admitted{}},
		{"over its share", limiter.Admission{Waiting: 100, OwnWaiting: 35, Organisations: 2, MaxWaiting: 100}, limiter.QueueFull{Retry: time.Second}},
		{"late", limiter.Admission{MaxWaiting: 100, Wait: 3 * time.Second, Deadline: time.Second}, limiter.DeadlineExceeded{Retry: 2 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.a.Decide()); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBreaker(t *testing.T) {
	var b limiter.Breaker
	for range 3 {
		b = b.WithFailure(start)
	}
	var got []bool
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond} {
		got = append(got, b.Allows(start.Add(after)))
	}
	probing := b.WithProbe(start.Add(250 * time.Millisecond))
	got = append(got, probing.Allows(start.Add(300*time.Millisecond)), probing.WithSuccess().Allows(start))
	if diff := cmp.Diff([]bool{false, false, true, false, true}, got); diff != "" {
		t.Errorf("allows (-want +got):\n%s", diff)
	}
}
