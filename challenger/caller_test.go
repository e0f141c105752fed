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

// sink receives the response to one request, as a caller does.
type sink struct {
	fixture *fixture
	host    *process
	// countTokens reports whether the request belongs to the program whose
	// budget is checked.
	countTokens bool
	status      int
	body        strings.Builder
}

func (s *sink) Head(status int, _ http.Header, _ int64) { s.status = status }

// Body receives bytes of the response. It waits while the host is paused, and
// returns an error once the host has been killed.
func (s *sink) Body(p []byte) error {
	if !s.host.waitRunning() {
		return net.ErrClosed
	}
	s.body.Write(p)
	s.fixture.mu.Lock()
	defer s.fixture.mu.Unlock()
	if s.countTokens {
		s.fixture.observed.deliveredTokens += strings.Count(string(p), "data: ") * tokensPerEvent
	}
	return nil
}

// result is the response to one attempt. The zero value means that the caller
// got no response.
type result struct {
	// complete reports whether the response ended normally for the caller.
	complete bool
	status   int
	body     string
}

// send sends a request to a host, as one attempt, and waits up to
// attemptTimeout for the response.
func (fx *fixture) send(p *process, r descriptor.Request) result {
	fx.mu.Lock()
	fx.current = p
	fx.stage = "beginning"
	fx.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	s := &sink{fixture: fx, host: p, countTokens: r.Program == "p"}
	done := make(chan forwarder.Outcome, 1)
	r.Deadline = time.Now().Add(attemptTimeout)
	go func() {
		if !p.waitRunning() {
			return
		}
		done <- p.entry.Serve(ctx, r, s, time.Now())
	}()
	select {
	case o := <-done:
		if !p.waitRunning() {
			return result{}
		}
		return fx.result(r, o, s)
	case <-ctx.Done():
		return result{}
	}
}

// result converts the outcome of an attempt. It also records the refusals whose
// status guarantees that the request did not run: 402, 429 and 503.
func (fx *fixture) result(r descriptor.Request, o forwarder.Outcome, s *sink) result {
	switch o := o.(type) {
	case forwarder.Answered:
		fx.setStage("answered")
		fx.reachStep("answered")
		return result{complete: true, status: s.status, body: s.body.String()}
	case forwarder.Refused:
		status := o.Refusal.Reason.Status()
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusPaymentRequired {
			fx.mu.Lock()
			fx.observed.reportedNotRun = append(fx.observed.reportedNotRun, r.ID)
			fx.mu.Unlock()
		}
		return result{status: status, body: o.Refusal.Message}
	default:
		return result{}
	}
}
