package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/watcher"
)

// codec spells the headers of the test's upstreams.
type codec struct{}

func (codec) Header(d exchanger.Dispatch, _ descriptor.Upstream) http.Header {
	return http.Header{"Id": {d.Request.ID}, "After": {d.After}}
}
func (codec) Echo(h http.Header) string             { return h.Get("Id") }
func (codec) NotRun(status int, h http.Header) bool { return h.Get("Not-Run") != "" || status == 421 }
func (codec) Genuine(http.Header) bool              { return true }

// script answers one request that arrived at an upstream, and reports whether
// the connection goes on.
type script func(c net.Conn, r *http.Request) bool

func whole(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
	return true
}

func notRun(c net.Conn, _ *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

func failed(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Failed\r\nId: %s\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("Id"))
	return true
}

// hangs answers nothing until the connection ends.
func hangs(c net.Conn, _ *http.Request) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

// late answers after an idempotent request would have been broken off.
func late(c net.Conn, r *http.Request) bool {
	time.Sleep(400 * time.Millisecond)
	return whole(c, r)
}

func breaks(net.Conn, *http.Request) bool { return false }

func short(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", r.Header.Get("Id"))
	return false
}

// events answers a stream: events from one after that asked for to the last of
// three, or to the one after which it breaks off.
func events(breakAfter int) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &from)
		for i := from + 1; i <= 3; i++ {
			piece := fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			if i == breakAfter {
				// Half an event is not passed on.
				_, _ = io.WriteString(c, "4\r\nid: \r\n")
				return false
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

// world is a forwarder and its upstreams.
type world struct {
	forwarder *forwarder.Forwarder
	homes     *homes

	mu sync.Mutex
	// arrived has the requests at each upstream in order, as name:after.
	arrived []string
	bodies  []string
}

// homes is a home of every program.
type homes struct {
	mu      sync.Mutex
	verdict messenger.BeginReply_Verdict
	chain   string
	ended   []*messenger.EndRequest
	endErr  error
	settled chan struct{}
	// away has the shards whose partitions are away.
	away map[int32]bool
}

func (h *homes) Begin(context.Context, *messenger.BeginRequest) (*messenger.BeginReply, error) {
	return &messenger.BeginReply{Verdict: h.verdict, Chain: []byte(h.chain)}, nil
}

func (h *homes) End(_ context.Context, r *messenger.EndRequest) (*messenger.EndReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = append(h.ended, proto.CloneOf(r))
	if h.settled != nil {
		close(h.settled)
		h.settled = nil
	}
	if h.away[r.GetShard()] && !r.GetPatient() {
		return &messenger.EndReply{Away: true}, h.endErr
	}
	return &messenger.EndReply{Recorded: r.GetRetain()}, h.endErr
}

// upstream starts an upstream that plays one script for each request in turn,
// the last one for all further ones.
func (w *world) upstream(t testing.TB, name string, scripts ...script) descriptor.Upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					w.mu.Lock()
					w.arrived = append(w.arrived, name+":"+r.Header.Get("After"))
					w.bodies = append(w.bodies, string(body))
					play := scripts[min(requests, len(scripts)-1)]
					requests++
					w.mu.Unlock()
					if !play(c, r) {
						return
					}
				}
			}()
		}
	}()
	return descriptor.Upstream{ID: name, Address: l.Addr().String(), Service: "s", Slots: 4}
}

// newWorld returns a world whose homes hold every turn.
func newWorld() *world {
	return &world{homes: &homes{verdict: messenger.BeginReply_RESERVED}}
}

func (w *world) start(t testing.TB, kind descriptor.Kind, attempts int, upstreams ...descriptor.Upstream) {
	t.Helper()
	var list watcher.List
	for i, u := range upstreams {
		list = list.WithUpstream(u, int64(i))
	}
	configuration := descriptor.Configuration{
		Version: 1,
		Routes: []descriptor.Route{{
			Name: "r", Host: "h", Prefix: "/a/", Kind: kind, Timeout: 5 * time.Second, Attempts: attempts,
			Split: []descriptor.Share{{Service: "s", Weight: 1}},
		}},
		Services: map[string]descriptor.Service{"s": {Name: "s", TokensPerEvent: 18}},
	}
	w.forwarder = forwarder.New(forwarder.Config{
		Shards:        4,
		Configuration: func() descriptor.Configuration { return configuration },
		Upstreams:     func() (watcher.List, bool) { return list, true },
		Others:        func(time.Time) map[uint64]forwarder.Load { return nil },
		Homes:         w.homes,
		Exchanger:     exchanger.New(codec{}, exchanger.NewDial(exchanger.UnackedUpstream)),
		Board:         &forwarder.Board{},
		Counters:      &counter.Set{},
		Logger:        zerolog.Nop(),
		Background:    t.Context(),
	})
}

// sink keeps what a caller gets.
type sink struct {
	status int
	body   strings.Builder
}

func (s *sink) Head(status int, _ http.Header, _ int64) { s.status = status }

func (s *sink) Body(p []byte) error {
	s.body.Write(p)
	return nil
}

func request() descriptor.Request {
	return descriptor.Request{ID: "id", Method: http.MethodPost, Host: "h", Path: "/a/x", Target: "/a/x", Body: []byte("new")}
}

// seen returns the requests that arrived, and their bodies.
func (w *world) seen() (arrived, bodies []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived, w.bodies
}

// serve returns what the caller got, in one word and the body.
func (w *world) serve(t *testing.T, r descriptor.Request) (outcome, body string) {
	t.Helper()
	var s sink
	switch o := w.forwarder.Serve(t.Context(), r, &s, time.Now()).(type) {
	case forwarder.Answered:
		return fmt.Sprint(o.Status), s.body.String()
	case forwarder.Refused:
		return fmt.Sprint(o.Refusal.Reason, " ", o.Refusal.Reason.Status(), " ", o.Refusal.Run), s.body.String()
	case forwarder.Cut:
		return "cut " + string(o.Refusal.Reason), s.body.String()
	default:
		return "nothing", ""
	}
}

func TestServe(t *testing.T) {
	idempotent, once := descriptor.Idempotent{}, descriptor.Once{}
	plain, resumable := descriptor.Stream{}, descriptor.Stream{Resumable: true}
	const three = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\n"
	for _, c := range []struct {
		name     string
		kind     descriptor.Kind
		attempts int
		scripts  [][]script
		outcome  string
		body     string
		arrived  []string
	}{
		{"a once request that broke off is not sent again", once, 3, [][]script{{breaks}, {breaks}}, "lost 502 unknown", "", []string{"u0:"}},
		{"a once answer cut short is lost", once, 1, [][]script{{short}}, "lost 502 unknown", "", []string{"u0:"}},
		{"a once request that was not run goes on", once, 1, [][]script{{notRun}, {whole}}, "200", "ok", []string{"u0:", "u1:"}},
		{"not run anywhere is said so", once, 1, [][]script{{notRun}, {notRun}}, "capacity 503 no", "", []string{"u0:", "u1:"}},
		{"no upstream", once, 1, nil, "capacity 503 no", "", nil},
		{"not run and then lost is not said to be not run", once, 1, [][]script{{notRun}, {breaks}}, "lost 502 unknown", "", []string{"u0:", "u1:"}},
		{"a failure of the upstream is passed on", once, 1, [][]script{{failed}}, "500", "bad", []string{"u0:"}},
		{"an idempotent request is sent again", idempotent, 2, [][]script{{breaks}, {whole}}, "200", "ok", []string{"u0:", "u1:"}},
		{"an idempotent answer cut short is read again", idempotent, 2, [][]script{{short}, {whole}}, "200", "ok", []string{"u0:", "u1:"}},
		{"up to its attempts", idempotent, 1, [][]script{{breaks}, {whole}}, "lost 502 unknown", "", []string{"u0:"}},
		{"one that an upstream fails is sent to another", idempotent, 2, [][]script{{failed}, {whole}}, "200", "ok", []string{"u0:", "u1:"}},
		{"a failure is passed on where no other upstream does better", idempotent, 2, [][]script{{failed}, {notRun}}, "500", "bad", []string{"u0:", "u1:"}},
		{"a failure is passed on where the other answer is lost", idempotent, 2, [][]script{{failed}, {short}}, "500", "bad", []string{"u0:", "u1:"}},
		{"a failure is passed on once the attempts are used", idempotent, 1, [][]script{{failed}, {whole}}, "500", "bad", []string{"u0:"}},
		{"one whose answer does not begin is sent to another", idempotent, 2, [][]script{{hangs}, {whole}}, "200", "ok", []string{"u0:", "u1:"}},
		{"a once request whose answer begins late is waited for", once, 2, [][]script{{late}, {whole}}, "200", "ok", []string{"u0:"}},
		{"a stream", plain, 1, [][]script{{events(0)}}, "200", three, []string{"u0:"}},
		{"a stream that broke off before its header", plain, 1, [][]script{{breaks}, {events(0)}}, "lost 502 unknown", "", []string{"u0:"}},
		{"a stream that broke off is cut at a whole event", plain, 1, [][]script{{events(2)}, {events(0)}}, "cut cut", three[:32], []string{"u0:"}},
		{"a resumable stream goes on where it broke off", resumable, 1, [][]script{{events(2), events(0)}, {events(0)}}, "200", three, []string{"u0:", "u0:2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			var upstreams []descriptor.Upstream
			for i, scripts := range c.scripts {
				u := w.upstream(t, fmt.Sprint("u", i), scripts...)
				// The first one is preferred, being nearer.
				if i > 0 {
					u.DataCentre = "far"
				}
				upstreams = append(upstreams, u)
			}
			w.start(t, c.kind, c.attempts, upstreams...)
			outcome, body := w.serve(t, request())
			arrived, _ := w.seen()
			got := []any{outcome, body, arrived}
			if diff := cmp.Diff([]any{c.outcome, c.body, c.arrived}, got); diff != "" {
				t.Errorf("outcome, body, arrivals (-want +got):\n%s", diff)
			}
		})
	}
}

// No upstream gets a request whose caller has left.
func TestCallerThatLeft(t *testing.T) {
	w := newWorld()
	w.start(t, descriptor.Once{}, 1, w.upstream(t, "u", whole))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var s sink
	o := w.forwarder.Serve(ctx, request(), &s, time.Now())
	arrived, _ := w.seen()
	if r, ok := o.(forwarder.Refused); !ok || r.Refusal.Reason != refuser.Gone || len(arrived) > 0 {
		t.Errorf("outcome %v, arrived %v", o, arrived)
	}
}

// A request that may run once goes on at the upstream that has it when its caller
// leaves, and to no further one.
func TestCallerThatLeavesGetsNoFurtherSend(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	leaves := func(c net.Conn, r *http.Request) bool {
		cancel()
		return notRun(c, r)
	}
	w := newWorld()
	far := w.upstream(t, "u1", whole)
	far.DataCentre = "far"
	w.start(t, descriptor.Once{}, 1, w.upstream(t, "u0", leaves), far)
	var s sink
	o := w.forwarder.Serve(ctx, request(), &s, time.Now())
	arrived, _ := w.seen()
	if r, ok := o.(forwarder.Refused); !ok || r.Refusal.Reason != refuser.Gone {
		t.Errorf("outcome %v", o)
	}
	if diff := cmp.Diff([]string{"u0:"}, arrived); diff != "" {
		t.Errorf("arrivals (-want +got):\n%s", diff)
	}
}

// A request whose time is over is told so, with what is known of its run.
func TestTimeIsOver(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hang := func(net.Conn, *http.Request) bool {
		<-release
		return false
	}
	for name, c := range map[string]struct {
		left time.Duration
		want string
	}{
		"before it was sent": {-time.Millisecond, "late 503 no"},
		"at an upstream":     {50 * time.Millisecond, "timeout 504 unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.start(t, descriptor.Once{}, 1, w.upstream(t, "u", hang))
			r := request()
			r.Deadline = time.Now().Add(c.left)
			outcome, _ := w.serve(t, r)
			if diff := cmp.Diff(c.want, outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
