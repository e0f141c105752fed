package challenger_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/standin"
)

// upstream is a fake model engine or service. It streams an answer to requests
// below /chat/ and sends a plain response to all others.
type upstream struct {
	fixture *fixture
	id      string
	// incarnation counts the starts of the upstream with this id; the first
	// start is 1.
	incarnation int64
	link        *standin.Link
	server      *http.Server
	entry       descriptor.Upstream
	crashOnce   sync.Once

	mu     sync.Mutex
	killed bool
	// cutNext makes the upstream close the connection before the end of its next
	// response.
	cutNext bool
	// ran has the ids of the requests that this incarnation received.
	ran map[string]bool
	// limit is the requests a second that the upstream names in its answers; 0 is none.
	limit float64
	// arrivals has when each request arrived.
	arrivals []time.Time
}

// startUpstream starts an upstream and adds it to the service-discovery list.
func (fx *fixture) startUpstream(id, service string, incarnation int64) *upstream {
	u := &upstream{fixture: fx, id: id, incarnation: incarnation, link: standin.NewLink(fx.network.Dial, fx.network.Listen)}
	fx.mu.Lock()
	fx.started++
	address := fx.network.Address(5000 + fx.started)
	fx.mu.Unlock()
	listener, err := u.link.Listen(address)
	if err != nil {
		fx.t.Fatal(err)
	}
	u.entry = descriptor.Upstream{ID: id, Address: address, DataCentre: "d", Service: service, Slots: 4, Incarnation: incarnation, HeartbeatSequence: 1}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	fx.putKeyed(upstreams, id, u.entry)
	return u
}

func (u *upstream) stop() {
	u.mu.Lock()
	u.killed = true
	u.mu.Unlock()
	_ = u.server.Close()
}

func (u *upstream) isKilled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.killed
}

// didRun reports whether this incarnation of the upstream received a request.
func (u *upstream) didRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// ServeHTTP records and answers one request. It refuses a request addressed to
// another upstream's id with status 421.
func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	if r.Header.Get("Instance") != u.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The host was killed in the middle of the request, which can't be run.
		panic(http.ErrAbortHandler)
	}
	u.fixture.mu.Lock()
	u.fixture.observed.ran[id] = append(u.fixture.observed.ran[id], string(body))
	u.fixture.mu.Unlock()
	u.mu.Lock()
	if u.ran == nil {
		u.ran = make(map[string]bool)
	}
	u.ran[id] = true
	cutNext, limit := u.cutNext, u.limit
	u.cutNext = false
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	if limit > 0 {
		rw.Header().Set("Limit", fmt.Sprint(limit))
	}
	u.crashOn(string(body))
	rw.Header().Set("Id", id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		u.generate(rw, id, cutNext)
		return
	}
	u.fixture.reachStep("tool")
	time.Sleep(20 * time.Millisecond)
	if cutNext {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(rw, "did ", id)
}

func (u *upstream) generate(rw http.ResponseWriter, id string, cutNext bool) {
	u.fixture.reachStep("sent")
	for i := 1; i <= eventsPerTurn; i++ {
		time.Sleep(30 * time.Millisecond)
		if i == eventsPerTurn {
			u.fixture.setStage("ending")
		}
		if cutNext && i == eventsPerTurn {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = http.NewResponseController(rw).Flush()
		if i == 1 {
			u.fixture.reachStep("event")
		}
	}
}

// output returns the text that an upstream generates for a turn, in the form in
// which the history contains it.
func output(id string) string {
	var b strings.Builder
	for i := 1; i <= eventsPerTurn; i++ {
		fmt.Fprintf(&b, "%s-%d\n", id, i)
	}
	return b.String()
}
