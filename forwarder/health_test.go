package forwarder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
)

// load is requests that come one after the other, at upstreams of which some
// are not well.
type load struct {
	upstreams int
	// ill is how many of them are not well from the second second on, until
	// recoverIn and a little more before the end.
	ill int
	// fails is the share of requests that these fail, hangs that they never answer,
	// and stretch how many times longer they take.
	fails, hangs, stretch float64
}

// outcome is what callers get in a load.
type outcome struct{ failed, slow, after int }

const (
	requestsOfLoad = 2000
	everyOfLoad    = 10 * time.Millisecond
	tookOfLoad     = 60 * time.Millisecond
	hangsFor       = 2 * time.Second
	// recoverIn is how soon an upstream that has recovered is in use again.
	recoverIn = 10 * time.Second
	// last is the number of requests at the end that show it.
	last = 250
)

// pending is a request that ends at a time.
type pending struct {
	visit *visit
	at    time.Time
	// hangs says that the answer never begins.
	hangs  bool
	result result
}

// play sends a load through a board and counts what callers get.
func (l load) play() outcome {
	var b Board
	random := rand.New(rand.NewPCG(1, 2))
	var list []descriptor.Upstream
	for i := range l.upstreams {
		list = append(list, descriptor.Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 6})
	}
	start := time.Unix(1000, 0)
	var under []pending
	var got outcome
	for i := range requestsOfLoad {
		now := start.Add(time.Duration(i) * everyOfLoad)
		under = l.finish(&b, under, now)
		ill := i > 100 && i < requestsOfLoad-last-int(recoverIn/everyOfLoad)
		u, _ := b.choose(list, choice{request: descriptor.Request{ID: fmt.Sprint(i)}}, now)
		p := pending{visit: b.begin(u, nil, now), at: now.Add(tookOfLoad), result: served}
		isIll := false
		for k := range l.ill {
			isIll = isIll || u.ID == list[k].ID
		}
		if ill && isIll {
			p.at = now.Add(time.Duration(float64(tookOfLoad) * max(1, l.stretch)))
			if l.stretch > 1 {
				got.slow++
			}
			if random.Float64() < l.fails {
				p.result = failed
				got.failed++
			}
			if random.Float64() < l.hangs {
				p.at, p.hangs, p.result = now.Add(hangsFor), true, unknown
				got.failed++
			}
		}
		if !ill && isIll && i > requestsOfLoad-last {
			got.after++
		}
		under = append(under, p)
	}
	return got
}

// finish ends the requests whose time has come.
func (l load) finish(b *Board, under []pending, now time.Time) []pending {
	var left []pending
	for _, p := range under {
		if p.at.After(now) {
			left = append(left, p)
			continue
		}
		if !p.hangs {
			b.answered(p.visit, p.at)
		}
		b.end(p.visit, p.result, p.at)
	}
	return left
}

// Of the requests of a load few meet an upstream that is not well, and one that
// has recovered serves again. Without a choice by health the shares are those of
// the upstreams: 1 in 8 fails where a quarter of the upstreams fails half.
func TestLoadWithIllUpstreams(t *testing.T) {
	const most = 0.03
	for name, l := range map[string]load{
		"some fail half of their requests": {upstreams: 12, ill: 3, fails: 0.5},
		"some answer half of them never":   {upstreams: 12, ill: 3, hangs: 0.5},
		"some are slow":                    {upstreams: 12, ill: 3, stretch: 5},
		"most fail half of their requests": {upstreams: 12, ill: 7, fails: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			got := l.play()
			if share := float64(got.failed+got.slow) / requestsOfLoad; share > most {
				t.Errorf("%d failed and %d were slow of %d", got.failed, got.slow, requestsOfLoad)
			}
			if got.after < last*l.ill/l.upstreams/2 {
				t.Errorf("the recovered upstreams got %d of the last %d", got.after, last)
			}
		})
	}
}

// Upstreams that all fail alike are all used.
func TestLoadWithAllIll(t *testing.T) {
	var b Board
	list := []descriptor.Upstream{{ID: "a", Service: "s", Slots: 1}, {ID: "b", Service: "s", Slots: 1}}
	now := time.Unix(1000, 0)
	used := make(map[string]bool)
	for i := range 20 {
		u, ok := b.choose(list, choice{request: descriptor.Request{ID: fmt.Sprint(i)}}, now)
		if !ok {
			t.Fatal("none was chosen")
		}
		used[u.ID] = true
		b.end(b.begin(u, nil, now), failed, now)
		now = now.Add(time.Millisecond)
	}
	if diff := cmp.Diff(map[string]bool{"a": true, "b": true}, used); diff != "" {
		t.Errorf("used (-want +got):\n%s", diff)
	}
}

// What is known of an upstream fades.
func TestHealthFades(t *testing.T) {
	now := time.Unix(1000, 0)
	h := health{}.WithResult(1, now).WithResult(1, now)
	got := []float64{h.failing(0, now), h.failing(0, now.Add(healthHalf)), health{}.failing(2, now)}
	if diff := cmp.Diff([]float64{0.5, 1.0 / 3, 0.5}, got); diff != "" {
		t.Errorf("share that fails (-want +got):\n%s", diff)
	}
}

// What other hosts found keeps requests away before this host has failed any, and
// one host's word does not outweigh good results of this one.
func TestWordOfOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []descriptor.Upstream{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}
	var told Board
	told.end(told.begin(list[0], nil, now), failed, now)
	word := make(map[uint64]Load)
	for hash, l := range told.Loads(now) {
		word[hash] = Load{}.WithHost(l.Running, l.Failing, l.Stretch)
	}
	picks := func(b *Board) map[string]bool {
		picked := make(map[string]bool)
		for i := range 20 {
			u, _ := b.choose(list, choice{request: descriptor.Request{ID: fmt.Sprint(i)}, others: word}, now)
			picked[u.ID] = true
		}
		return picked
	}
	var fresh, busy Board
	for range 10 {
		busy.end(busy.begin(list[0], nil, now), served, now)
	}
	got := []map[string]bool{picks(&fresh), picks(&busy)}
	want := []map[string]bool{{"b": true}, {"a": true, "b": true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("picked by a new host and by one with good results (-want +got):\n%s", diff)
	}
}

// An upstream whose events come slowly is found before its answers end, and other
// hosts are told.
func TestSlowEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []descriptor.Upstream{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}
	var b Board
	for _, u := range list {
		v := b.begin(u, nil, now)
		for range 14 {
			now = now.Add(20 * time.Millisecond)
			b.passed(v, 20*time.Millisecond, now)
		}
		b.end(v, served, now)
	}
	slow := b.begin(list[0], nil, now)
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		b.passed(slow, 100*time.Millisecond, now)
	}
	b.end(slow, unknown, now)
	var told Board
	word := make(map[uint64]Load)
	for hash, l := range b.Loads(now) {
		word[hash] = Load{}.WithHost(l.Running, l.Failing, l.Stretch)
	}
	for i := range 20 {
		c := choice{request: descriptor.Request{ID: fmt.Sprint(i)}}
		own, _ := b.choose(list, c, now)
		c.others = word
		other, _ := told.choose(list, c, now)
		if diff := cmp.Diff([]string{"b", "b"}, []string{own.ID, other.ID}); diff != "" {
			t.Fatalf("chosen here and where it was told (-want +got):\n%s", diff)
		}
	}
}

// A service's own failures now and then move no load, and a share of them does.
func TestErredCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []descriptor.Upstream{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}
	pick := func(erredOf int) map[string]bool {
		var b Board
		for _, u := range list {
			for i := range 8 {
				r := served
				if u.ID == "a" && i < erredOf {
					r = erred
				}
				v := b.begin(u, nil, now)
				b.answered(v, now)
				b.end(v, r, now)
			}
		}
		picked := make(map[string]bool)
		for i := range 20 {
			u, _ := b.choose(list, choice{request: descriptor.Request{ID: fmt.Sprint(i)}}, now)
			picked[u.ID] = true
		}
		return picked
	}
	got := []map[string]bool{pick(1), pick(4)}
	if diff := cmp.Diff([]map[string]bool{{"a": true, "b": true}, {"b": true}}, got); diff != "" {
		t.Errorf("picked after one and after four of eight (-want +got):\n%s", diff)
	}
}

// The end of a request at an earlier incarnation of an upstream changes nothing that
// is known of the present one but the number under way.
func TestEarlierIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	old := descriptor.Upstream{ID: "a", Service: "s", Slots: 4, Born: 1}
	young := old
	young.Born = 2
	prefix := []descriptor.PromptPart{{ID: "x", Tokens: 100}}
	var b Board
	first := b.begin(old, nil, now)
	second := b.begin(young, prefix, now)
	b.end(first, failed, now)
	c := b.candidate(young, choice{request: descriptor.Request{Prefix: prefix}}, now)
	got := []any{b.Loads(now)[second.place.hash], c.Cached, c.Broken}
	if diff := cmp.Diff([]any{Load{Running: 1}, int64(100), false}, got); diff != "" {
		t.Errorf("load, cached, broken (-want +got):\n%s", diff)
	}
}
