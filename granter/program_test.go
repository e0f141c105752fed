package granter_test

import (
	"testing"
	"time"

	"github.com/citronpier/citronpier/granter"
)

const (
	programLength   = 10
	programDuration = 3 * time.Second
	// attempts is how often a caller sends a request before its program fails.
	attempts = 3
)

// programTally counts how programs ended.
type programTally struct{ asked, begun, ended, failed int }

// program runs a chain of requests at random hosts.
type program struct {
	*model
	tally   *programTally
	done    int
	refused int
}

func (p *program) next() {
	h := p.hosts[p.random.IntN(len(p.hosts))]
	if h.down || h.frozen > p.now {
		p.afterAll(retryHome, p.next)
		return
	}
	kind := granter.Continuing
	if p.done == 0 {
		kind = granter.Beginning
	}
	h.serve(&request{kind: kind, done: p.answered})
}

func (p *program) answered(v granter.Verdict) {
	retry := retryHome
	switch v := v.(type) {
	case granter.Granted:
		if p.done == 0 {
			p.tally.begun++
		}
		p.done, p.refused = p.done+1, 0
		if p.done == programLength {
			p.tally.ended++
			return
		}
		p.afterAll(p.between(programDuration/programLength/2, programDuration/programLength*3/2), p.next)
		return
	case granter.Refused:
		retry = v.Retry
	}
	p.refused++
	if p.refused == attempts {
		if p.done > 0 {
			p.tally.failed++
		}
		return
	}
	p.afterAll(retry+time.Duration(p.random.Int64N(int64(retry)+int64(500*time.Millisecond))), p.next)
}

// programs starts programs whose requests are the given number a second.
func (m *model) programs(perSecond func(time.Duration) float64, t *programTally) {
	var next func()
	next = func() {
		t.asked++
		(&program{model: m, tally: t}).next()
		m.afterAll(time.Duration(m.random.ExpFloat64()/perSecond(m.now-boot)*programLength*float64(time.Second)), next)
	}
	next()
}

// TestProgramsThatBegunEnd guards against an overload in which all programs begin and fail
// midway.
func TestProgramsThatBegunEnd(t *testing.T) {
	t.Parallel()
	for _, o := range organisations {
		var sum programTally
		worst, capacity := -o.Limit(), 0.0
		for i := range *seeds {
			m := newModel(*first+uint64(i), 31, o)
			m.programs(func(at time.Duration) float64 {
				if at > 10*time.Second && at < 25*time.Second {
					return 5 * usual * o.PerSecond
				}
				return usual * o.PerSecond
			}, &sum)
			m.runUntil(40 * time.Second)
			over, _ := m.excess(o, 0)
			worst = max(worst, over)
			capacity += usual*o.PerSecond*25 + o.PerSecond*15
		}
		t.Logf("%g+%g: %d programs, %d began, %d ended, %d failed midway, worst window %+.0f, capacity for %.0f programs",
			o.PerSecond, o.Burst, sum.asked, sum.begun, sum.ended, sum.failed, worst, capacity/programLength)
		// Of the few programs of a small organisation, chance lets more ask at once.
		failing := 0.03
		if o.PerSecond < 50 {
			failing = 0.05
		}
		if float64(sum.failed) > failing*float64(sum.begun) {
			t.Errorf("%g+%g: %d of %d programs failed midway", o.PerSecond, o.Burst, sum.failed, sum.begun)
		}
		if float64(sum.ended) < 0.7*capacity/programLength {
			t.Errorf("%g+%g: %d programs ended, want 0.7 of %.0f", o.PerSecond, o.Burst, sum.ended, capacity/programLength)
		}
		if worst > 0 {
			t.Errorf("%g+%g: a window is exceeded by %.0f", o.PerSecond, o.Burst, worst)
		}
	}
}
