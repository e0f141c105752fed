package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/citronpier/citronpier/internal/waiter"
)

// ServiceRun is one call that a plain service ran.
type ServiceRun struct {
	Path string
	Key  string
	Call string
	Body string
	At   time.Time
}

// A Service is a plain service whose calls may not be repeated. Its ledger
// shows every call that it ran.
type Service struct {
	Faults
	// Work is how long a call takes.
	Work time.Duration
	// Fenced makes the service refuse a fencing number below one that it has
	// seen for the same key.
	Fenced bool

	mu     sync.Mutex
	ran    []ServiceRun
	fences map[string]int64
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
	fence, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if !s.passes(key, fence) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	s.reach(StepReceived, key)
	number := s.record(ServiceRun{
		Path: r.URL.Path, Key: key, Call: r.Header.Get("X-Request-Id"), Body: string(body), At: time.Now(),
	})
	waiter.Sleep(r.Context(), s.Work)
	s.reach(StepRan, key)
	if s.loses() {
		abort()
	}
	answer(w, struct {
		Number int    `json:"number"`
		Path   string `json:"path"`
	}{number, r.URL.Path})
}

func (s *Service) passes(key string, fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Fenced || fence == 0 {
		return true
	}
	if s.fences == nil {
		s.fences = make(map[string]int64)
	}
	if fence < s.fences[key] {
		return false
	}
	s.fences[key] = fence
	return true
}

func (s *Service) record(run ServiceRun) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = append(s.ran, run)
	return len(s.ran)
}

// Ran returns the calls that the service ran, in order.
func (s *Service) Ran() []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceRun(nil), s.ran...)
}
