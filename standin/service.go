package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/citronpier/citronpier/internal/waiter"
)

// ServiceRun records one call that a Service executed.
type ServiceRun struct {
	Path string
	// Key is the Idempotency-Key header, and Call is the X-Request-Id header.
	Key  string
	Call string
	Body string
	// At is when the execution began.
	At time.Time
}

// A Service is a fake HTTP service whose calls must run at most once. The
// service itself does not detect repeated calls: it records every execution,
// and tests check the record.
type Service struct {
	Faults
	// Work is the execution time of a call.
	Work time.Duration
	// Fenced makes the service reject a call whose fencing token is lower than a
	// token received earlier for the same key.
	Fenced bool

	mu  sync.Mutex
	ran []ServiceRun
	// highestTokens has the highest fencing token received for each key.
	highestTokens map[string]int64
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	return s.wrap(http.HandlerFunc(s.serve))
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, "body is not readable", http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	token, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if !s.acceptsToken(key, token) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	s.reach(StepReceived, key)
	number := s.record(ServiceRun{
		Path: r.URL.Path, Key: key, Call: r.Header.Get("X-Request-Id"), Body: string(body), At: time.Now(),
	})
	waiter.Sleep(r.Context(), s.Work)
	s.reach(StepRan, key)
	if s.losesResponse() {
		abort()
	}
	answer(w, struct {
		Number int    `json:"number"`
		Path   string `json:"path"`
	}{number, r.URL.Path})
}

// acceptsToken reports whether a call may run with a fencing token, and records
// the token. Calls without a token (0) always run.
func (s *Service) acceptsToken(key string, token int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Fenced || token == 0 {
		return true
	}
	if s.highestTokens == nil {
		s.highestTokens = make(map[string]int64)
	}
	if token < s.highestTokens[key] {
		return false
	}
	s.highestTokens[key] = token
	return true
}

func (s *Service) record(run ServiceRun) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = append(s.ran, run)
	return len(s.ran)
}

// Ran returns the calls that the service executed, in order.
func (s *Service) Ran() []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceRun(nil), s.ran...)
}
