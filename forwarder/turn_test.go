package forwarder_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

func turnRequest() descriptor.Request {
	r := request()
	r.Program, r.Session, r.Budget, r.Most, r.Previous = "p", "s", 1000, 100, "before"
	return r
}

func retained() descriptor.Stream { return descriptor.Stream{Retain: true, Retention: time.Minute} }

// An upstream gets the chain and the new input, and the turn is recorded with
// what was said.
func TestRetainedTurn(t *testing.T) {
	w := newWorld()
	w.homes.chain = "old\n"
	w.start(t, retained(), 1, w.upstream(t, "u", events(0)))
	outcome, _ := w.serve(t, turnRequest())
	if diff := cmp.Diff("200", outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	_, bodies := w.seen()
	if diff := cmp.Diff([]string{"old\nnew"}, bodies); diff != "" {
		t.Errorf("body at the upstream (-want +got):\n%s", diff)
	}
	end := w.homes.ended[0]
	got := []any{string(end.GetInput()), string(end.GetOutput()), end.GetGenerated(), end.GetRetain()}
	if diff := cmp.Diff([]any{"new", "d1\nd2\nd3\n", int64(54), true}, got); diff != "" {
		t.Errorf("record (-want +got):\n%s", diff)
	}
}

// A turn whose shard is away is recorded in another one, with its chain and
// without its settlement; where all are away it waits for its own.
func TestTurnAside(t *testing.T) {
	type ended struct {
		Shard   int32
		Aside   bool
		Chain   string
		Patient bool
	}
	own := int32(keeper.Shard("p", 4))
	at := func(i int32) int32 { return (own + i) % 4 }
	for _, c := range []struct {
		name string
		away []int32
		want []ended
	}{
		{"none is away", nil, []ended{{own, false, "", false}}},
		{"the own is away", []int32{own}, []ended{{own, false, "", false}, {at(3), true, "old\n", false}}},
		{"all are away", []int32{0, 1, 2, 3}, []ended{
			{own, false, "", false},
			{at(3), true, "old\n", false},
			{at(1), true, "old\n", false},
			{at(2), true, "old\n", false},
			{own, false, "", true},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			w.homes.chain = "old\n"
			w.homes.away = make(map[int32]bool)
			for _, shard := range c.away {
				w.homes.away[shard] = true
			}
			w.start(t, retained(), 1, w.upstream(t, "u", events(0)))
			outcome, _ := w.serve(t, turnRequest())
			var got []ended
			for _, r := range w.homes.ended {
				got = append(got, ended{r.GetShard(), r.GetAside(), string(r.GetChain()), r.GetPatient()})
			}
			if diff := cmp.Diff(c.want, got); diff != "" || outcome != "200" {
				t.Errorf("outcome %s, ends (-want +got):\n%s", outcome, diff)
			}
		})
	}
}

// The answer of a turn that can't be recorded does not look whole.
func TestTurnWithoutRecordIsCut(t *testing.T) {
	w := newWorld()
	w.homes.endErr = io.ErrUnexpectedEOF
	w.start(t, retained(), 1, w.upstream(t, "u", events(0)))
	outcome, _ := w.serve(t, turnRequest())
	if diff := cmp.Diff("cut cut", outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// A turn that its home refuses reaches no upstream.
func TestRefusedTurn(t *testing.T) {
	for verdict, want := range map[messenger.BeginReply_Verdict]string{
		messenger.BeginReply_EXCEEDED:  fmt.Sprint(refuser.Budget, " 402 no"),
		messenger.BeginReply_MISSING:   fmt.Sprint(refuser.Turn, " 404 no"),
		messenger.BeginReply_UNCERTAIN: fmt.Sprint(refuser.Log, " 503 no"),
	} {
		t.Run(verdict.String(), func(t *testing.T) {
			w := newWorld()
			w.homes.verdict = verdict
			w.start(t, retained(), 1, w.upstream(t, "u", events(0)))
			outcome, _ := w.serve(t, turnRequest())
			arrived, _ := w.seen()
			if diff := cmp.Diff(want, outcome); diff != "" || len(arrived) > 0 {
				t.Errorf("%d arrived, outcome (-want +got):\n%s", len(arrived), diff)
			}
		})
	}
}

// What a cut turn has handed out is settled, no more.
func TestCutTurnIsSettled(t *testing.T) {
	w := newWorld()
	settled := make(chan struct{})
	w.homes.settled = settled
	w.start(t, retained(), 1, w.upstream(t, "u", events(2)))
	outcome, _ := w.serve(t, turnRequest())
	<-settled
	end := w.homes.ended[0]
	got := []any{outcome, end.GetGenerated(), end.GetRetain()}
	if diff := cmp.Diff([]any{"cut cut", int64(36), false}, got); diff != "" {
		t.Errorf("outcome, tokens, retained (-want +got):\n%s", diff)
	}
}
