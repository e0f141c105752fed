package admitter_test

import (
	"testing"
	"time"
)

// deployment is how engines slow down under load.
type deployment struct {
	name   string
	token  time.Duration
	growth float64
}

// deployments need about 40% of their capacity on a calm day.
var deployments = []deployment{
	{"long turns", 90 * time.Millisecond, 0.5}, {"medium turns", 45 * time.Millisecond, 1.5}, {"crowded engines", 30 * time.Millisecond, 3},
}

const (
	onset = 10 * time.Second
	seeds = 2
)

// play returns what the callers of each kind and all callers got over some seeds.
func play(t *testing.T, d day) (short, long, all result) {
	t.Helper()
	for d.seed = range uint64(seeds) {
		results := simulate(d)
		short, long = short.add(*results["short"]), long.add(*results["long"])
	}
	all = short.add(long)
	t.Logf("admission %t\nshort %s\nlong  %s\nall   %s", d.admission, short, long, all)
	return short, long, all
}

// Programs are refused though upstreams serve all of them in time or nearly so.
func TestNothingIsRefusedWithoutOverload(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		day  day
	}{
		{"calm", day{users: 1, length: time.Minute}},
		{"burst of 1.8", day{users: 1.8, from: onset, to: 18 * time.Second, length: 20 * time.Second}},
		{"slow engines with few users", day{users: 0.5, slow: 1, from: onset, to: 18 * time.Second, length: 20 * time.Second}},
		{"a third of the engines gone", day{users: 1, gone: 1.0 / 3, from: onset, to: 18 * time.Second, length: 20 * time.Second}},
	} {
		for _, p := range deployments {
			t.Run(c.name+"/"+p.name, func(t *testing.T) {
				c.day.token, c.day.growth, c.day.admission = p.token, p.growth, true
				if _, _, all := play(t, c.day); all.refusals > 0 {
					t.Errorf("%d first turns refused, want none", all.refusals)
				}
			})
		}
	}
}

// All programs begin under overload and end too late, programs fail midway, or one kind pays
// for the others.
func TestProgramsUnderOverload(t *testing.T) {
	t.Parallel()
	const (
		maxBroken = 0.03
		minServed = 0.75
		// maxWait is the time of two refusals with the longest time to return.
		maxWait = 13 * time.Second
		// maxLoss is what a short overload, which most programs outlast, may lose.
		maxLoss = 0.06
	)
	for _, c := range []struct {
		name string
		day  day
		// minGain is the least factor by which admission improves the score.
		minGain float64
	}{
		{"3.5 times the users and a third gone for 8 s", day{users: 3.5, gone: 1.0 / 3, to: onset + 8*time.Second}, 0},
		{"2.5 times the users and half slow for 8 s", day{users: 2.5, slow: 0.5, to: onset + 8*time.Second}, 0},
		{"3.5 times the users and a third gone for 25 s", day{users: 3.5, gone: 1.0 / 3, to: onset + 25*time.Second}, 1.5},
	} {
		for _, p := range deployments {
			t.Run(c.name+"/"+p.name, func(t *testing.T) {
				d := c.day
				d.token, d.growth, d.from, d.length = p.token, p.growth, onset, c.day.to
				_, _, before := play(t, d)
				d.admission = true
				short, long, all := play(t, d)
				if all.score() < c.minGain*before.score() || all.score() < before.score()-maxLoss {
					t.Errorf("score %.2f with admission, %.2f without", all.score(), before.score())
				}
				if all.brokenShare() > maxBroken {
					t.Errorf("%.3f of the programs that began failed, want %.2f at most", all.brokenShare(), maxBroken)
				}
				if min(short.score(), long.score()) < minServed*all.score() {
					t.Errorf("scores short %.2f, long %.2f, all %.2f: one kind is served too little", short.score(), long.score(), all.score())
				}
				if all.longestWait > maxWait {
					t.Errorf("longest wait %s, want %s at most", all.longestWait, maxWait)
				}
			})
		}
	}
}
