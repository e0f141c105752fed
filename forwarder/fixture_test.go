package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/admitter"
	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/authenticator"
	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/exchanger"
	"github.com/citronpier/citronpier/forwarder"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/watcher"
)

// codec writes and reads the headers that the test upstreams use.
type codec struct{}

func (codec) Header(a exchanger.Attempt, _ descriptor.Upstream) http.Header {
	return http.Header{"Id": {a.Request.ID}, "After": {a.LastEventID}}
}

func (codec) RequestID(h http.Header) string { return h.Get("Id") }

func (codec) NotRun(status int, h http.Header) bool { return h.Get("Not-Run") != "" || status == 421 }

func (codec) HasStamp(http.Header) bool { return true }

func (codec) Notice(h http.Header) exchanger.Notice {
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	if err != nil {
		limit = 0
	}
	return exchanger.Notice{Limit: limit, Leaving: h.Get("Leaving") != ""}
}

// script answers one request as an upstream and reports whether the connection
// stays open for further requests.
type script func(c net.Conn, r *http.Request) bool

func answerOK(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
	return true
}

// answerNotRun answers that the upstream did not run the request.
func answerNotRun(c net.Conn, _ *http.Request) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

func answerError(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Failed\r\nId: %s\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("Id"))
	return true
}

// hang sends no response and returns when the connection is closed.
func hang(c net.Conn, _ *http.Request) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

// answerLate answers after 400 ms. The Forwarder sends an idempotent request to
// another upstream after 300 ms.
func answerLate(c net.Conn, r *http.Request) bool {
	time.Sleep(400 * time.Millisecond)
	return answerOK(c, r)
}

// closeConnection closes the connection without a response.
func closeConnection(net.Conn, *http.Request) bool { return false }

// answerShort closes the connection after 2 of 9 bytes of the body.
func answerShort(c net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", r.Header.Get("Id"))
	return false
}

// streamEvents returns a script that streams the events 1 to 3. If the request's
// header After names an event, the stream starts after this event. The script closes
// the connection after the event breakAfter; if breakAfter is 0, it streams to the
// end.
func streamEvents(breakAfter int) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &from)
		for i := from + 1; i <= 3; i++ {
			piece := fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			if i == breakAfter {
				// The caller must not get this incomplete event.
				_, _ = io.WriteString(c, "4\r\nid: \r\n")
				return false
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

// fixture is a Forwarder with a fake home and test upstreams.
type fixture struct {
	// dataCentres has the demands of data centres if the load is balanced by them.
	dataCentres map[string]float64
	counters    counter.Set
	forwarder   *forwarder.Forwarder
	home        *fakeHome
	isolator    *isolator.Isolator
	// allowances grants credits; nil if limits are not kept.
	allowances forwarder.Allowances
	// homes replaces home unless it is nil, and configurationAge returns the age of the
	// configuration; nil if it is always the newest.
	homes            forwarder.HomeClient
	configurationAge func() time.Duration
	// logger logs the requests; it logs nothing by default.
	logger zerolog.Logger
	// stopping makes the host stop at once.
	stopping atomic.Bool
	// dial opens connections to upstreams.
	dial connector.Dial
	// memory is what responses take their memory from; nil is no limit.
	memory *allocator.Pool
	// admission decides which programs may begin; nil is none.
	admission *admitter.Admitter
	// loads are the loads that other hosts report.
	loads map[uint64]forwarder.UpstreamLoad
	// largeTurns bounds large turns that are kept; nil is no limit.
	largeTurns *allocator.Window

	mu sync.Mutex
	// list is the service-discovery list.
	list watcher.List
	// listeners has the listeners of the upstreams, by name.
	listeners map[string]net.Listener
	// arrived lists the requests that upstreams received, in the order of their
	// arrival. Each item is the upstream's name, a colon and the id of the last event
	// that the caller has received.
	arrived []string
	// bodies has the bodies of the requests in arrived, in the same order.
	bodies []string
}

// startUpstream starts an upstream that answers the first request with the first
// script, the second request with the second script, and so on. The last script also
// answers all further requests.
func (f *fixture) startUpstream(t testing.TB, name string, scripts ...script) descriptor.Upstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	f.mu.Lock()
	f.listeners[name] = listener
	f.mu.Unlock()
	requestCount := 0
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				// An open connection would keep the fixture, with all bodies, after the test.
				defer context.AfterFunc(t.Context(), func() { _ = c.Close() })()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					f.mu.Lock()
					f.arrived = append(f.arrived, name+":"+r.Header.Get("After"))
					f.bodies = append(f.bodies, string(body))
					respond := scripts[min(requestCount, len(scripts)-1)]
					requestCount++
					f.mu.Unlock()
					if !respond(c, r) {
						return
					}
				}
			}()
		}
	}()
	return descriptor.Upstream{ID: name, Address: listener.Addr().String(), Service: "s", Slots: 4}
}

// newFixture returns a fixture whose home reserves budget for every turn.
func newFixture() *fixture {
	const maxBound = 16
	home := &fakeHome{verdict: messenger.BeginReply_RESERVED, bound: make(chan *messenger.BindRequest, maxBound)}
	return &fixture{
		home: home, listeners: make(map[string]net.Listener), dial: exchanger.NewDial(exchanger.UnackedUpstream),
		logger:   zerolog.Nop(),
		isolator: isolator.New(isolator.Policy{Crashes: 3, Overlapping: 2, Quarantine: time.Minute}),
	}
}

// drain is how long the test upstreams serve on after they have begun to leave.
const drain = 2 * time.Second

// start creates the Forwarder, with one route of the given kind to the upstreams.
func (f *fixture) start(t testing.TB, kind descriptor.Kind, attempts int, upstreams ...descriptor.Upstream) {
	t.Helper()
	for i, u := range upstreams {
		f.list = f.list.WithUpstream(u, int64(i), time.Now())
	}
	configuration := descriptor.Configuration{
		Version: 1,
		Routes: []descriptor.Route{{
			Name: "r", Host: "h", Prefix: "/a/", Kind: kind, Timeout: 5 * time.Second, Attempts: attempts,
			Split: []descriptor.Share{{Service: "s", Weight: 1}},
		}},
		Services: map[string]descriptor.Service{"s": {Name: "s", TokensPerEvent: 18}},
	}
	f.startWith(t, func() descriptor.Configuration { return configuration })
}

// startWith creates the Forwarder with a configuration that may change.
func (f *fixture) startWith(t testing.TB, configuration func() descriptor.Configuration) {
	t.Helper()
	homes := forwarder.HomeClient(f.home)
	if f.homes != nil {
		homes = f.homes
	}
	f.forwarder = forwarder.New(forwarder.Config{
		ConfigurationAge: f.configurationAge, Authentication: authenticator.Policy{Revocation: 5 * time.Second},
		Isolator: f.isolator, ReportCrash: func(isolator.Report) {},
		RemoteDemand: func(string, time.Time) forwarder.RemoteDemand {
			return forwarder.RemoteDemand{Telling: 1, Hosts: 1, DataCentres: f.dataCentres}
		},
		Allowances:    f.allowances,
		Shards:        4,
		Configuration: configuration,
		Upstreams:     func() (watcher.List, bool) { return f.listed(), true },
		Drain:         drain,
		LastDeadline:  func() (time.Time, bool) { return time.Now(), f.stopping.Load() },
		Homes:         homes,
		RemoteLoads:   func(time.Time) map[uint64]forwarder.UpstreamLoad { return f.loads },
		Memory:        f.memory,
		Admission:     f.admission,
		LargeTurns:    f.largeTurns,
		Exchanger:     exchanger.New(codec{}, f.dial).WithMemory(f.memory),
		Tracker:       &forwarder.UpstreamTracker{},
		Counters:      &f.counters,
		Logger:        f.logger,
		Background:    t.Context(),
	})
}

// listed returns the service-discovery list.
func (f *fixture) listed() watcher.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

// add adds an upstream to the service-discovery list.
func (f *fixture) add(u descriptor.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = f.list.WithUpstream(u, int64(f.list.Len()), time.Now())
}

// remove removes an upstream from the service-discovery list.
func (f *fixture) remove(name string) {
	const laterOffset = 1000
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = f.list.WithRemoved(name, laterOffset, time.Time{}, time.Now())
}

// leave marks an upstream as leaving since the given time.
func (f *fixture) leave(u descriptor.Upstream, since time.Time) {
	const laterOffset = 1000
	f.mu.Lock()
	defer f.mu.Unlock()
	u.HeartbeatSequence++
	f.list = f.list.WithUpstream(u.WithLeaving(true), laterOffset, since)
}

// crash makes an upstream accept no new connections.
func (f *fixture) crash(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.listeners[name].Close()
}

// sink records the status and the body that a caller gets.
type sink struct {
	status int
	body   strings.Builder
}

func (s *sink) Head(status int, _ http.Header, _ int64) { s.status = status }

func (s *sink) Body(p []byte) error {
	s.body.Write(p)
	return nil
}

// request returns a request that matches the route of the fixture.
func request() descriptor.Request {
	return descriptor.Request{ID: "id", Method: http.MethodPost, Host: "h", Path: "/a/x", Target: "/a/x", Body: []byte("new")}
}

// received returns the requests that arrived at the upstreams, and their bodies.
func (f *fixture) received() (arrived, bodies []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrived, f.bodies
}

// serve forwards a request and returns a summary of the outcome and the body that
// the caller got.
func (f *fixture) serve(t *testing.T, r descriptor.Request) (outcome, body string) {
	t.Helper()
	var s sink
	switch o := f.forwarder.Serve(t.Context(), r, &s, time.Now()).(type) {
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

// endUpstream returns a script that ends the upstream with the given name.
func (f *fixture) endUpstream(name string) script {
	return func(net.Conn, *http.Request) bool {
		f.crash(name)
		return false
	}
}
