package challenger_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/standin"
)

// upstream is a stand-in engine or service.
type upstream struct {
	world *world
	id    string
	// born numbers the incarnations.
	born   int64
	link   *standin.Link
	server *http.Server
	entry  descriptor.Upstream

	mu   sync.Mutex
	dead bool
	// breaks says that the next answer is cut.
	breaks bool
	// ran has the ids of the requests that the upstream ran.
	ran map[string]bool
}

func (w *world) startUpstream(id, service string, born int64) *upstream {
	u := &upstream{world: w, id: id, born: born, link: standin.NewLink(w.network.Dial, w.network.Listen)}
	w.mu.Lock()
	w.started++
	address := w.network.Address(5000 + w.started)
	w.mu.Unlock()
	listener, err := u.link.Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	u.entry = descriptor.Upstream{ID: id, Address: address, DataCentre: "d", Service: service, Slots: 4, Born: born, Beat: 1}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	w.put(upstreams, id, u.entry)
	return u
}

func (u *upstream) stop() {
	u.mu.Lock()
	u.dead = true
	u.mu.Unlock()
	_ = u.server.Close()
}

func (u *upstream) isDead() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dead
}

// didRun reports whether the upstream ran a request.
func (u *upstream) didRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// ServeHTTP runs one request.
func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	if r.Header.Get("Instance") != u.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	u.world.mu.Lock()
	u.world.seen.ran[id] = append(u.world.seen.ran[id], body.String())
	u.world.mu.Unlock()
	u.mu.Lock()
	if u.ran == nil {
		u.ran = make(map[string]bool)
	}
	u.ran[id] = true
	breaks := u.breaks
	u.breaks = false
	u.mu.Unlock()
	rw.Header().Set("Id", id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		u.generate(rw, id, breaks)
		return
	}
	u.world.reach("tool")
	time.Sleep(20 * time.Millisecond)
	if breaks {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(rw, "did ", id)
}

func (u *upstream) generate(rw http.ResponseWriter, id string, breaks bool) {
	u.world.reach("sent")
	for i := 1; i <= events; i++ {
		time.Sleep(30 * time.Millisecond)
		if i == events {
			u.world.setStage("ending")
		}
		if breaks && i == events {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = http.NewResponseController(rw).Flush()
		if i == 1 {
			u.world.reach("event")
		}
	}
}

// output is what an upstream says of a turn, as it goes into the history.
func output(id string) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "%s-%d\n", id, i)
	}
	return b.String()
}
