package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronpier/citronpier/connector"
)

const (
	// appendsPerSecond and appendBurst limit the log's appends.
	appendsPerSecond = 500
	appendBurst      = 100
	// maxRecord bounds one record, in bytes.
	maxRecord = 4 << 20
	// maxPage bounds the entries of one read.
	maxPage = 512
)

// A Log is an append-only log with streams, offsets and limited retention.
// The zero value is empty and keeps everything.
type Log struct {
	Faults
	// Keep is how long records are kept; 0 is for ever.
	Keep time.Duration
	// Limit bounds the appends of all streams; nil is the default rate.
	Limit *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	tap     func(stream string, data []byte, s Step)
}

// OnAppend sets what is called before and after each append.
func (l *Log) OnAppend(tap func(stream string, data []byte, s Step)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tap = tap
}

func (l *Log) tell(stream string, data []byte, s Step) {
	l.mu.Lock()
	tap := l.tap
	l.mu.Unlock()
	if tap != nil {
		tap(stream, data, s)
	}
}

// stream is one stream of a Log.
type stream struct {
	first   int64
	entries []connector.Entry
	times   []time.Time
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// Handler returns the log's HTTP interface.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.append)
	mux.HandleFunc("GET /streams/{stream}/records", l.read)
	return l.wrap(mux)
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, "record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	now := time.Now()
	if !l.allows(now) {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	stream := r.PathValue("stream")
	l.tell(stream, data, StepAppend)
	offset := l.Add(stream, data, now)
	l.tell(stream, data, StepAppended)
	if l.loses() {
		abort()
	}
	answer(w, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

func (l *Log) allows(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Limit == nil {
		l.Limit = rate.NewLimiter(appendsPerSecond, appendBurst)
	}
	return l.Limit.AllowN(now, 1)
}

// Add appends a record and returns its offset.
func (l *Log) Add(name string, data []byte, now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	s.entries = append(s.entries, connector.Entry{Offset: offset, Data: data})
	s.times = append(s.times, now)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// Records returns what a stream holds.
func (l *Log) Records(name string) []connector.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]connector.Entry(nil), l.stream(name).entries...)
}

// Trim drops the records of a stream before an offset.
func (l *Log) Trim(name string, first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).trim(first)
}

func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = make(map[string]*stream)
	}
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() int64 { return s.first + int64(len(s.entries)) }

func (s *stream) trim(first int64) {
	drop := min(max(0, first-s.first), int64(len(s.entries)))
	s.entries = s.entries[drop:]
	s.times = s.times[drop:]
	s.first += drop
}

func (s *stream) expire(now time.Time, keep time.Duration) {
	if keep == 0 {
		return
	}
	drop := 0
	for drop < len(s.times) && now.Sub(s.times[drop]) > keep {
		drop++
	}
	s.trim(s.first + int64(drop))
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(r.FormValue("wait"), 10, 64)
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		page, grown := l.page(r.PathValue("stream"), from, time.Now())
		if len(page.Entries) > 0 || page.First > from {
			answer(w, page)
			return
		}
		select {
		case <-grown:
		case <-deadline.C:
			answer(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) page(name string, from int64, now time.Time) (connector.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.expire(now, l.Keep)
	p := connector.Page{First: s.first, Next: s.next()}
	start := max(0, from-s.first)
	if start < int64(len(s.entries)) {
		end := min(start+maxPage, int64(len(s.entries)))
		p.Entries = append(p.Entries, s.entries[start:end]...)
	}
	return p, s.grown
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
