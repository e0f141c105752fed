package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/navigator"
	"github.com/citronpier/citronpier/refuser"
)

// turnRequest returns a turn that continues another turn of its program.
func turnRequest() descriptor.Request {
	r := request()
	r.Program, r.Session, r.Budget, r.MaxTokens, r.Previous = "p", "s", 1000, 100, "before"
	return r
}

// retained returns the kind of a stream whose turns are recorded.
func retained() descriptor.Stream { return descriptor.Stream{Retain: true, Retention: time.Minute} }

// The upstream gets the text of the earlier turns followed by the new input. The turn
// is recorded with the new input, the data of the response and its tokens.
func TestRetainedTurn(t *testing.T) {
	f := newFixture()
	f.home.chain = "old\n"
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	outcome, _ := f.serve(t, turnRequest())
	if diff := cmp.Diff("200", outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	_, bodies := f.received()
	if diff := cmp.Diff([]string{"old\nnew"}, bodies); diff != "" {
		t.Errorf("body at the upstream (-want +got):\n%s", diff)
	}
	end := f.home.requests()[0]
	got := []any{string(end.GetInput()), string(end.GetOutput()), end.GetGenerated(), end.GetRetain()}
	if diff := cmp.Diff([]any{"new", "d1\nd2\nd3\n", int64(54), true}, got); diff != "" {
		t.Errorf("record (-want +got):\n%s", diff)
	}
}

// A turn whose own shard is unavailable is recorded in a fallback shard, with the
// text of the earlier turns and without settling the budget. If all shards are
// unavailable, the Forwarder sends the request to the turn's own shard again, and
// this shard waits for its partition.
func TestTurnInFallbackShard(t *testing.T) {
	type ended struct {
		Shard   int32
		Aside   bool
		Chain   string
		Patient bool
	}
	home := int32(keeper.Shard("p", 4))
	afterHome := func(i int32) int32 { return (home + i) % 4 }
	for _, c := range []struct {
		name        string
		unavailable []int32
		want        []ended
	}{
		{"none is unavailable", nil, []ended{{home, false, "", false}}},
		{"the home shard is unavailable", []int32{home}, []ended{{home, false, "", false}, {afterHome(3), true, "old\n", false}}},
		{"all are unavailable", []int32{0, 1, 2, 3}, []ended{
			{home, false, "", false},
			{afterHome(3), true, "old\n", false},
			{afterHome(1), true, "old\n", false},
			{afterHome(2), true, "old\n", false},
			{home, false, "", true},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.home.chain = "old\n"
			f.home.unavailable = make(map[int32]bool)
			for _, shard := range c.unavailable {
				f.home.unavailable[shard] = true
			}
			f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
			outcome, _ := f.serve(t, turnRequest())
			var got []ended
			for _, r := range f.home.requests() {
				got = append(got, ended{r.GetShard(), r.GetAside(), string(r.GetChain()), r.GetPatient()})
			}
			if diff := cmp.Diff(c.want, got); diff != "" || outcome != "200" {
				t.Errorf("outcome %s, ends (-want +got):\n%s", outcome, diff)
			}
		})
	}
}

func TestChainNotSentToHomeThatNeedsIt(t *testing.T) {
	type ended struct {
		Chain             string
		Sent              bool
		Cached            bool
		Generated, Retain any
	}
	first := ended{Cached: true, Generated: int64(54), Retain: true}
	second := first
	second.Sent, second.Chain = true, "old\n"
	empty := second
	empty.Chain = ""
	for _, c := range []struct {
		name      string
		chainless bool
		chain     string
		want      []ended
	}{
		{"the home has the chain", false, "old\n", []ended{first}},
		{"the home lacks the chain", true, "old\n", []ended{first, second}},
		{"the earlier turns have no text", true, "", []ended{first, empty}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.home.chain, f.home.chainless = c.chain, c.chainless
			f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
			outcome, _ := f.serve(t, turnRequest())
			var got []ended
			for _, r := range f.home.requests() {
				got = append(got, ended{string(r.GetChain()), r.Chain != nil, r.GetCached(), r.GetGenerated(), r.GetRetain()})
			}
			if diff := cmp.Diff(c.want, got); diff != "" || outcome != "200" {
				t.Errorf("outcome %s, ends (-want +got):\n%s", outcome, diff)
			}
		})
	}
}

// While the partitions are unavailable, the home of the turn's shard moves to a host that
// has not read the shard: that host can't record the turn either, and says so. The
// response ends only once some shard has recorded the turn, and is cut if none does in
// time.
func TestTurnWhoseHomeMovesInAnOutage(t *testing.T) {
	own := int32(keeper.Shard("p", 4))
	for _, c := range []struct {
		name   string
		unread int
		want   string
		// records has the shards that have recorded the turn when the response ends.
		records []int32
		// waited is the number of requests that wait for the partition, if it is known.
		waited int
	}{
		{"recorded at the third try", 2, "200", []int32{own}, 3},
		{"not recorded in time", 1 << 20, "cut timeout", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.home.unavailable = map[int32]bool{0: true, 1: true, 2: true, 3: true}
			f.home.unread = c.unread
			f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
			r := turnRequest()
			r.Deadline = time.Now().Add(time.Second)
			outcome, _ := f.serve(t, r)
			if diff := cmp.Diff([]any{c.want, c.records}, []any{outcome, f.home.records()}); diff != "" {
				t.Errorf("outcome, records (-want +got):\n%s", diff)
			}
			if c.waited > 0 {
				checkRecordedTry(t, f.home.requests(), c.waited)
			}
		})
	}
}

// checkRecordedTry checks that the last call of End is the one that waits for the partition of
// the turn's own shard for the given time, and that it has the whole turn.
func checkRecordedTry(t *testing.T, ended []*messenger.EndRequest, waited int) {
	t.Helper()
	patient := 0
	for _, r := range ended {
		if r.GetPatient() {
			patient++
		}
	}
	last := ended[len(ended)-1]
	got := []any{patient, last.GetPatient(), last.GetAside(), last.GetTurn(), string(last.GetInput()), string(last.GetOutput())}
	if diff := cmp.Diff([]any{waited, true, false, "id", "new", "d1\nd2\nd3\n"}, got); diff != "" {
		t.Errorf("waiting calls; last call: patient, aside, turn, input, output (-want +got):\n%s", diff)
	}
}

// The response of a turn that can't be recorded must not look complete to the caller:
// the outcome is Cut, once the caller's time is over.
func TestTurnWithoutRecordIsCut(t *testing.T) {
	f := newFixture()
	f.home.endErr = io.ErrUnexpectedEOF
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	r := turnRequest()
	r.Deadline = time.Now().Add(500 * time.Millisecond)
	outcome, _ := f.serve(t, r)
	if diff := cmp.Diff("cut timeout", outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if late := time.Since(r.Deadline); late < 0 || len(f.home.records()) > 0 {
		t.Errorf("cut %v after the deadline, recorded in shards %v", late, f.home.records())
	}
}

// A turn that no home can record is offered to all shards until the caller's time is over.
func TestTurnThatNoHomeCanRecordIsOfferedToOthers(t *testing.T) {
	own := int32(keeper.Shard("p", 4))
	for name, unavailable := range map[string]map[int32]bool{"own shard": nil, "fallback shard": {own: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.home.unavailable, f.home.unrecordable = unavailable, true
			f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
			r := turnRequest()
			r.Deadline = time.Now().Add(4 * time.Second)
			outcome, _ := f.serve(t, r)
			records := 0
			for _, end := range f.home.requests() {
				if end.GetRetain() {
					records++
				}
			}
			if diff := cmp.Diff([]any{"cut cut", len(unavailable) + 1}, []any{outcome, records}); diff != "" {
				t.Errorf("outcome, requests to record it (-want +got):\n%s", diff)
			}
			if left := time.Until(r.Deadline); left < 2*time.Second {
				t.Errorf("cut %s before the deadline", left)
			}
		})
	}
}

func TestAnsweredTurnCutByOneFailureOfItsHome(t *testing.T) {
	failure := &navigator.NoHomeError{Cause: io.ErrUnexpectedEOF}
	own := int32(keeper.Shard("p", 4))
	for _, c := range []struct {
		name        string
		unavailable map[int32]bool
		from, until time.Duration
		want        int32
	}{
		{"at the first attempt", nil, 0, 300 * time.Millisecond, -1},
		{"while no shard takes the turn", map[int32]bool{0: true, 1: true, 2: true, 3: true}, 75 * time.Millisecond, 300 * time.Millisecond, own},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			f.home.unavailable = c.unavailable
			if c.unavailable != nil {
				f.home.unread = 2
			}
			f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
			if c.from == 0 {
				f.home.setEndErr(failure)
			} else {
				time.AfterFunc(c.from, func() { f.home.setEndErr(failure) })
			}
			time.AfterFunc(c.until, func() { f.home.setEndErr(nil) })
			r := turnRequest()
			r.Deadline = time.Now().Add(3 * time.Second)
			began := time.Now()
			outcome, _ := f.serve(t, r)
			if diff := cmp.Diff("200", outcome); diff != "" {
				t.Errorf("outcome after %v (-want +got):\n%s", time.Since(began).Round(10*time.Millisecond), diff)
			}
			if records := f.home.records(); len(records) != 1 || c.want >= 0 && records[0] != c.want {
				t.Errorf("recorded in shards %v", records)
			}
		})
	}
}

func TestAnsweredTurnCutThoughAFallbackShardTakesIt(t *testing.T) {
	own := int32(keeper.Shard("p", 4))
	f := newFixture()
	f.home.chain = "old\n"
	f.home.failed = map[int32]bool{own: true}
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	outcome, _ := f.serve(t, turnRequest())
	requests := f.home.requests()
	last := requests[len(requests)-1]
	got := []any{outcome, f.home.records(), last.GetAside(), string(last.GetChain())}
	if diff := cmp.Diff([]any{"200", []int32{(own + 3) % 4}, true, "old\n"}, got); diff != "" {
		t.Errorf("outcome, records, aside, chain (-want +got):\n%s", diff)
	}
}

// The partition of the turn's own shard stays unavailable, and those of the others come back.
func TestAnsweredTurnCutThoughAFallbackShardIsBack(t *testing.T) {
	f := newFixture()
	own := int32(keeper.Shard("p", 4))
	f.home.unavailable = map[int32]bool{0: true, 1: true, 2: true, 3: true}
	f.home.waits = true
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
	time.AfterFunc(300*time.Millisecond, func() {
		f.home.mu.Lock()
		defer f.home.mu.Unlock()
		f.home.unavailable = map[int32]bool{own: true}
	})
	r := turnRequest()
	r.Deadline = time.Now().Add(2 * time.Second)
	outcome, _ := f.serve(t, r)
	if diff := cmp.Diff([]any{"200", []int32{(own + 3) % 4}}, []any{outcome, f.home.records()}); diff != "" {
		t.Errorf("outcome, records (-want +got):\n%s", diff)
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
			f := newFixture()
			f.home.verdict = verdict
			f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(0)))
			outcome, _ := f.serve(t, turnRequest())
			arrived, _ := f.received()
			if diff := cmp.Diff(want, outcome); diff != "" || len(arrived) > 0 {
				t.Errorf("%d arrived, outcome (-want +got):\n%s", len(arrived), diff)
			}
		})
	}
}

// The budget of a turn that ends with the outcome Cut is settled with the tokens of
// the events that the caller got, and the turn is not recorded.
func TestCutTurnIsSettled(t *testing.T) {
	f := newFixture()
	settled := make(chan struct{})
	f.home.settled = settled
	f.start(t, retained(), 1, f.startUpstream(t, "u", streamEvents(2)))
	outcome, _ := f.serve(t, turnRequest())
	<-settled
	end := f.home.requests()[0]
	got := []any{outcome, end.GetGenerated(), end.GetRetain()}
	if diff := cmp.Diff([]any{"cut cut", int64(36), false}, got); diff != "" {
		t.Errorf("outcome, tokens, retained (-want +got):\n%s", diff)
	}
}

// An upstream sends events without end. What is kept of a turn that is to be recorded is
// bounded: the stream is cut, the upstream's connection is closed, and nothing is recorded.
func TestEventsWithoutEnd(t *testing.T) {
	const mostSent = 64 << 20 // socket buffers hold some megabytes
	closed := make(chan int, 1)
	endless := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", r.Header.Get("Id"))
		piece := "id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n"
		sent := 0
		for {
			n, err := io.WriteString(c, piece)
			sent += n
			if err != nil || sent > mostSent {
				closed <- sent
				return false
			}
		}
	}
	f := newFixture()
	f.start(t, retained(), 1, f.startUpstream(t, "u", endless))
	outcome, _ := f.serve(t, turnRequest())
	if diff := cmp.Diff("cut cut", outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if sent := <-closed; sent > mostSent {
		t.Errorf("the upstream could send %d bytes", sent)
	}
	for _, end := range f.home.requests() {
		if end.GetRetain() {
			t.Error("the turn was recorded")
		}
	}
}
