package allocator_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/allocator"
)

const (
	bodiesSize = 8 << 20
	bodyLimit  = 4 << 20
)

// arrival is a body that arrives in a test.
type arrival struct {
	*allocator.Body
	shed bool
}

// arrive opens a body of which a number of bytes has arrived.
func arrive(b *allocator.Bodies, address string, declared, bytes int64, now time.Time) (*arrival, error) {
	a := &arrival{}
	a.Body = b.Open(address, declared, bodyLimit, func() { a.shed = true }, now)
	err := a.Grow(bytes, now)
	a.Received(int(bytes), now)
	return a, err
}

// A body that gives way is not the one that matters least.
func TestWhichBodyGivesWay(t *testing.T) {
	start := time.Unix(1000, 0)
	const quarter = bodiesSize / 4
	type sender struct {
		address         string
		declared, bytes int64
	}
	for _, c := range []struct {
		name   string
		bodies []sender
		// progress lists the bodies that go on while the time passes.
		progress []int
		after    time.Duration
		asking   sender
		shed     []bool
		refused  bool
	}{
		{"all have room", []sender{{"a", bodyLimit, quarter}}, nil, 0, sender{"a", bodyLimit, quarter}, []bool{false}, false},
		{
			"the one with the most left",
			[]sender{{"a", bodyLimit, bodyLimit - 9}, {"a", bodyLimit, bodyLimit / 2}, {"a", bodyLimit, bodyLimit/2 - 1}},
			nil, 0,
			sender{"a", quarter, quarter},
			[]bool{false, false, true},
			false,
		},
		{
			"the asking one has the most left",
			[]sender{{"a", bodyLimit, bodyLimit - 9}, {"a", bodyLimit, bodyLimit - 9}},
			nil, 0,
			sender{"a", bodyLimit, 1 << 20},
			[]bool{false, false},
			true,
		},
		{
			"a stalled one before all others",
			[]sender{{"a", bodyLimit, bodyLimit - 9}, {"a", bodyLimit, quarter}, {"a", bodyLimit, quarter - 9}},
			[]int{1, 2},
			time.Second,
			sender{"b", bodyLimit, 1 << 20},
			[]bool{true, false, false},
			false,
		},
		{
			"an address above its share",
			[]sender{{"a", bodyLimit, bodyLimit - 9}, {"a", bodyLimit, bodyLimit - 10}},
			nil, 0,
			sender{"b", bodyLimit, 1 << 20},
			[]bool{false, true},
			false,
		},
		{
			"a small one needs little",
			[]sender{{"a", bodyLimit, bodyLimit - 9}, {"a", bodyLimit, bodyLimit - 9}},
			nil, 0,
			sender{"a", allocator.FreeBodyBytes, allocator.FreeBodyBytes},
			[]bool{false, false},
			false,
		},
		{
			"stalled ones keep what nobody needs",
			[]sender{{"a", bodyLimit, quarter}, {"a", bodyLimit, quarter}},
			nil, time.Minute,
			sender{"a", bodyLimit, quarter},
			[]bool{false, false},
			false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			bodies := &allocator.Bodies{Bytes: bodiesSize}
			var all []*arrival
			for _, s := range c.bodies {
				a, err := arrive(bodies, s.address, s.declared, s.bytes, start)
				if err != nil {
					t.Fatal(err)
				}
				all = append(all, a)
			}
			now := start.Add(c.after)
			for _, i := range c.progress {
				all[i].Received(64<<10, now)
			}
			_, err := arrive(bodies, c.asking.address, c.asking.declared, c.asking.bytes, now)
			shed := []bool{}
			for _, a := range all {
				shed = append(shed, a.shed)
			}
			if diff := cmp.Diff([]any{c.shed, c.refused}, []any{shed, err != nil}); diff != "" {
				t.Errorf("shed, refused (-want +got):\n%s", diff)
			}
		})
	}
}

// Bodies hold more than their memory, a complete body gives way, or all bodies give way.
func TestBodiesKeepWithinTheirMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies, now := &allocator.Bodies{Bytes: bodiesSize}, time.Unix(1000, 0)
		var complete, open []*arrival
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			declared := rapid.Int64Range(1, bodyLimit).Draw(t, "declared")
			a, err := arrive(bodies, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"), declared, declared, now)
			var shedError *allocator.ShedError
			if err != nil && (!errors.As(err, &shedError) || len(complete)+len(open) == 0 || declared <= allocator.FreeBodyBytes) {
				t.Fatalf("body of %d bytes beside %d: %v", declared, len(open), err)
			}
			if err == nil {
				open = append(open, a)
			}
			if n := len(open); n > 0 && rapid.Bool().Draw(t, "complete") {
				if a := open[n-1]; a.Complete() == nil {
					complete = append(complete, a)
				}
				open = open[:n-1]
			}
			if used := bodies.Used(); used > bodiesSize+60*allocator.FreeBodyBytes {
				t.Fatalf("%d bytes of %d are held", used, int64(bodiesSize))
			}
		}
		for _, a := range complete {
			if a.shed {
				t.Fatal("a complete body gave way")
			}
		}
		for _, a := range append(open, complete...) {
			a.Release()
		}
		if used := bodies.Used(); used != 0 {
			t.Fatalf("%d bytes are held after the release", used)
		}
	})
}

// Requests that are sent too slowly take all connections.
func TestShedStalled(t *testing.T) {
	bodies, now := &allocator.Bodies{}, time.Unix(1000, 0)
	slow, _ := arrive(bodies, "a", bodyLimit, 1, now)
	now = now.Add(time.Second)
	fresh, _ := arrive(bodies, "a", bodyLimit, 1, now)
	got := []bool{bodies.ShedStalled(now), bodies.ShedStalled(now), slow.shed, fresh.shed}
	if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
		t.Errorf("one, another, slow, fresh (-want +got):\n%s", diff)
	}
}

// The parts of a host's memory exceed it, or leave a body of the documented limit no room.
func TestBudgetDividesMemory(t *testing.T) {
	for _, mb := range []int64{0, 120, 233, 536} {
		b := allocator.Budget{Memory: mb << 20}
		memory := b.Memory
		if memory == 0 {
			memory = allocator.DefaultMemory
		}
		parts := b.Bodies() + b.Responses() + b.Readers() + b.Chains() + b.Turns()
		if parts >= b.RuntimeLimit() || b.RuntimeLimit() >= memory || b.Bodies() < bodyLimit || b.Connections() < 100 {
			t.Errorf("%d MB: parts %d, limit %d, bodies %d, connections %d", mb, parts, b.RuntimeLimit(), b.Bodies(), b.Connections())
		}
	}
}

// A body of which single bytes arrive keeps its memory for good.
func TestTricklingBodyGivesWay(t *testing.T) {
	bodies, now := &allocator.Bodies{Bytes: bodiesSize}, time.Unix(1000, 0)
	trickling, _ := arrive(bodies, "a", bodyLimit, bodyLimit-100, now)
	steady, _ := arrive(bodies, "a", bodyLimit, bodyLimit/2, now)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		trickling.Received(1, now)
		steady.Received(16<<10, now)
	}
	_, err := arrive(bodies, "a", bodyLimit, bodyLimit-100, now)
	if diff := cmp.Diff([]any{true, false, nil}, []any{trickling.shed, steady.shed, err}); diff != "" {
		t.Errorf("trickling, steady, error (-want +got):\n%s", diff)
	}
}

// What was added long ago takes room, or additions take more than there is.
func TestWindow(t *testing.T) {
	window, now := &allocator.Window{Bytes: 100}, time.Unix(1000, 0)
	var last *allocator.Addition
	add := func(bytes int64) bool {
		a, ok := window.Add(bytes, time.Minute, now)
		if ok {
			last = a
		}
		return ok
	}
	got := []bool{add(200), add(1)}
	now = now.Add(time.Minute)
	got = append(got, add(60), add(41), add(40))
	last.Withdraw()
	last.Withdraw()
	got = append(got, add(41), add(40), add(1))
	if diff := cmp.Diff([]bool{true, false, true, false, true, false, true, false}, got); diff != "" {
		t.Errorf("added (-want +got):\n%s", diff)
	}
}
