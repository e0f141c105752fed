package forwarder_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
)

// Large turns that are kept take all memory for turns, or keep out usual ones.
func TestLargeTurnsTakeTheMemoryOfAllTurns(t *testing.T) {
	f := newFixture()
	f.largeTurns = &allocator.Window{Bytes: 1 << 20}
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	var got []string
	for _, size := range []int{600 << 10, 600 << 10, 100 << 10} {
		r := request()
		outcome, _ := f.serve(t, r.WithBody([]byte(strings.Repeat("x", size))))
		got = append(got, outcome)
	}
	if diff := cmp.Diff([]string{"200", "memory 503 no", "200"}, got); diff != "" {
		t.Errorf("large, large, usual (-want +got):\n%s", diff)
	}
}

// Large turns that are never recorded keep out others for their whole retention.
func TestLargeTurnThatIsNotRecordedKeepsItsPlace(t *testing.T) {
	for name, fail := range map[string]func(f *fixture) descriptor.Upstream{
		"refused by the home": func(f *fixture) descriptor.Upstream {
			f.home.verdict = messenger.BeginReply_EXCEEDED
			return f.startUpstream(t, "u", streamEvents(0))
		},
		"cut by the upstream": func(f *fixture) descriptor.Upstream { return f.startUpstream(t, "u", streamEvents(2)) },
		"no upstream":         func(f *fixture) descriptor.Upstream { return descriptor.Upstream{ID: "u", Service: "other"} },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.largeTurns = &allocator.Window{Bytes: 1 << 20}
			f.start(t, retained(), 1, fail(f))
			r := request()
			f.serve(t, r.WithBody([]byte(strings.Repeat("x", 600<<10))))
			_, room := f.largeTurns.Add(1<<20, time.Minute, time.Now())
			if diff := cmp.Diff(true, room); diff != "" {
				t.Errorf("room after the turn (-want +got):\n%s", diff)
			}
		})
	}
}

// Earlier turns in requests to upstreams take memory that nothing counts.
func TestChainTakesMemoryForResponses(t *testing.T) {
	f := newFixture()
	f.memory = &allocator.Pool{Bytes: 1 << 20}
	f.home.chain = strings.Repeat("x", 600<<10)
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	var got []any
	for _, chain := range []int{600 << 10, 300 << 10} {
		f.home.chain = f.home.chain[:chain]
		outcome, _ := f.serve(t, turnRequest())
		got = append(got, outcome, f.memory.Used())
	}
	if diff := cmp.Diff([]any{"memory 503 no", int64(0), "200", int64(0)}, got); diff != "" {
		t.Errorf("outcome, used after it (-want +got):\n%s", diff)
	}
}
