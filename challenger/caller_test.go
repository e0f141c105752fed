package challenger_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/forwarder"
)

// sink is a caller's end of a request.
type sink struct {
	world *world
	host  *process
	// main says that the request belongs to the program whose budget is checked.
	main   bool
	status int
	body   strings.Builder
}

func (s *sink) Head(status int, _ http.Header, _ int64) { s.status = status }

// Body takes bytes of a process that lives.
func (s *sink) Body(p []byte) error {
	if !s.host.await() {
		return net.ErrClosed
	}
	s.body.Write(p)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.main {
		s.world.seen.handed += strings.Count(string(p), "data: ") * tokensPerEvent
	}
	return nil
}

// result is what a caller gets of one attempt.
type result struct {
	// whole says that the answer looks whole.
	whole  bool
	status int
	body   string
}

// send sends one attempt to a host and waits for a caller's time.
func (w *world) send(p *process, r descriptor.Request) result {
	w.mu.Lock()
	w.current = p
	w.stage = "beginning"
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s := &sink{world: w, host: p, main: r.Program == "p"}
	done := make(chan forwarder.Outcome, 1)
	r.Deadline = time.Now().Add(patience)
	go func() {
		if !p.await() {
			return
		}
		done <- p.entry.Serve(ctx, r, s, time.Now())
	}()
	select {
	case o := <-done:
		if !p.await() {
			return result{}
		}
		return w.result(r, o, s)
	case <-ctx.Done():
		return result{}
	}
}

func (w *world) result(r descriptor.Request, o forwarder.Outcome, s *sink) result {
	switch o := o.(type) {
	case forwarder.Answered:
		w.setStage("answered")
		w.reach("answered")
		return result{whole: true, status: s.status, body: s.body.String()}
	case forwarder.Refused:
		status := o.Refusal.Reason.Status()
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusPaymentRequired {
			w.mu.Lock()
			w.seen.denied = append(w.seen.denied, r.ID)
			w.mu.Unlock()
		}
		return result{status: status, body: o.Refusal.Message}
	default:
		return result{}
	}
}
