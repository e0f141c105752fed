package granter_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/granter"
)

// credits returns a pool with credits whose request was sent at boot and answered 50 ms later.
func credits(g granter.Grant) *granter.Pool {
	var p granter.Pool
	p.Arrive(terms(10, 10), boot)
	p.Settle(g, boot, boot+50*time.Millisecond)
	return &p
}

// TestCreditsExpireFromTheirRequest guards against credits that the home counts as expired while
// the host spends them, because it counts from the arrival of the answer.
func TestCreditsExpireFromTheirRequest(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{granter.Validity - 1, true}, {granter.Validity, false}} {
		p := credits(granter.Grant{Credits: 1})
		if _, ok := p.Spend(granter.Continuing, boot+c.after); ok != c.want {
			t.Errorf("spent after %s: %t", c.after, ok)
		}
	}
}

// TestReturnedCreditsKeepTheirExpiry guards against credits that last longer because they were
// spent and returned.
func TestReturnedCreditsKeepTheirExpiry(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		returned time.Duration
		want     int
	}{{granter.Validity - 1, 1}, {granter.Validity, 0}} {
		p := credits(granter.Grant{Credits: 1})
		spent, _ := p.Spend(granter.Continuing, boot+time.Second)
		p.Return(spent, boot+c.returned)
		got := []int{p.Held(boot + c.returned), p.Held(boot + granter.Validity)}
		if diff := cmp.Diff([]int{c.want, 0}, got); diff != "" {
			t.Errorf("returned after %s: held then and at the expiry (-want +got):\n%s", c.returned, diff)
		}
	}
}

// TestRefusalsAreRemembered guards against a call for each request above the limit, and against
// refusals that outlast what the home has said or other terms.
func TestRefusalsAreRemembered(t *testing.T) {
	t.Parallel()
	answered := boot + 50*time.Millisecond
	refused := granter.Grant{Retry: [granter.Kinds]time.Duration{granter.Beginning: time.Second}}
	p := credits(refused)
	verdicts := []granter.Verdict{
		p.Take(granter.Beginning, answered+300*time.Millisecond), p.Take(granter.Continuing, answered),
		p.Take(granter.Beginning, answered+time.Second),
	}
	p = credits(refused)
	p.Arrive(terms(20, 10), answered)
	verdicts = append(verdicts, p.Take(granter.Beginning, answered))
	want := []granter.Verdict{granter.Refused{Retry: 700 * time.Millisecond}, granter.Asked{}, granter.Asked{}, granter.Asked{}}
	if diff := cmp.Diff(want, verdicts); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// TestProgramsAskWhileHomeIsShort guards against programs that begin with credits which running
// programs need.
func TestProgramsAskWhileHomeIsShort(t *testing.T) {
	t.Parallel()
	p := credits(granter.Grant{Credits: 1, Beginnings: 1, Short: true})
	var got []bool
	for _, kind := range []granter.Kind{granter.Beginning, granter.Beginning, granter.Continuing, granter.Continuing} {
		_, ok := p.Spend(kind, boot+time.Second)
		got = append(got, ok)
	}
	if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
		t.Errorf("spent (-want +got):\n%s", diff)
	}
}

// TestLoweredTermsDropCredits guards against credits of a higher limit that are spent under a
// lower one.
func TestLoweredTermsDropCredits(t *testing.T) {
	t.Parallel()
	p := credits(granter.Grant{Credits: 3})
	p.Arrive(terms(10, 5), boot+time.Second)
	if held := p.Held(boot + time.Second); held != 0 {
		t.Errorf("%d credits held", held)
	}
}

// established is the standing of a home that the majority has followed for long.
func established(registered, live int) granter.Standing {
	return granter.Standing{Home: true, Live: live, Registered: registered, Resumed: boot - time.Hour, Stable: boot - time.Hour}
}

// TestClaimsAreAnsweredOnce guards against credits granted for a repeated or overtaken claim, whose
// number of held credits is wrong by then.
func TestClaimsAreAnsweredOnce(t *testing.T) {
	t.Parallel()
	var h granter.Home
	var got []bool
	for _, c := range []granter.Claim{
		{Host: "a", Run: "1", Number: 2},
		{Host: "a", Run: "1", Number: 2},
		{Host: "a", Run: "1", Number: 1},
		{Host: "a", Run: "2", Number: 1},
		{Host: "b", Run: "1", Number: 1},
	} {
		c.Waiting[granter.Continuing] = 1
		_, ok := h.Claim(c, terms(10, 10), established(3, 3), boot)
		got = append(got, ok)
	}
	if diff := cmp.Diff([]bool{true, false, false, true, true}, got); diff != "" {
		t.Errorf("answered (-want +got):\n%s", diff)
	}
}

// TestHeldCreditsAreBounded guards against unspent credits of many hosts that add up.
func TestHeldCreditsAreBounded(t *testing.T) {
	t.Parallel()
	var h granter.Home
	limit := terms(170, 170)
	held := 0
	for host := range 100 {
		g, _ := h.Claim(granter.Claim{Host: string(rune('A' + host)), Number: 1, Wanted: 50}, limit, established(100, 100), boot)
		held += g.Credits
	}
	if quarter := (0.1*(170*5+170) + 20) / 4; float64(held) > quarter || held == 0 {
		t.Errorf("%d credits are held, want %.1f at most", held, quarter)
	}
}

// TestReducedHomes guards against the full rate of a home that no majority follows.
func TestReducedHomes(t *testing.T) {
	t.Parallel()
	paused := established(31, 31)
	paused.Resumed = boot
	half := established(30, 15)
	first := half
	first.First = true
	for _, c := range []struct {
		name     string
		standing granter.Standing
		want     bool
	}{
		{"majority", established(31, 16), false},
		{"minority", established(31, 15), true},
		{"half without the first host", half, true},
		{"half with the first host", first, false},
		{"resumed just now", paused, true},
		{"registered hosts unknown", established(0, 3), true},
		{"not home", granter.Standing{Live: 31, Registered: 31}, true},
	} {
		var h granter.Home
		h.Tick(terms(170, 170), c.standing, boot)
		if h.Reduced() != c.want {
			t.Errorf("%s: reduced %t", c.name, h.Reduced())
		}
	}
}
