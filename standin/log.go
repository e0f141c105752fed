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
	// appendsPerSecond and appendBurst are the default rate limit of appends,
	// for all streams of a log together.
	appendsPerSecond = 500
	appendBurst      = 100
	// maxRecord is the maximum size of a record of a Log and of a request body
	// of a Service, in bytes.
	maxRecord = 4 << 20
	// maxPage is the maximum number of entries in the response to one read.
	maxPage = 512
)

// A Log is a fake of the platform's append-only log. It has named streams,
// offsets per stream and an optional retention. The zero value is empty and
// retains all records.
type Log struct {
	Faults
	// Retention is the retention of records; 0 means without limit.
	Retention time.Duration
	// Limit limits the rate of appends to all streams together; nil means 500 a
	// second with bursts of 100. Appends above the limit get status 429.
	Limit *rate.Limiter

	mu       sync.Mutex
	streams  map[string]*stream
	onAppend func(stream string, data []byte, s Step)
}

// OnAppend sets the function that is called for each append over HTTP: with
// StepAppend before the append, and with StepAppended after it. Nil removes the
// function.
func (l *Log) OnAppend(onAppend func(stream string, data []byte, s Step)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onAppend = onAppend
}

func (l *Log) notifyAppend(stream string, data []byte, s Step) {
	l.mu.Lock()
	onAppend := l.onAppend
	l.mu.Unlock()
	if onAppend != nil {
		onAppend(stream, data, s)
	}
}

// stream is one stream of a Log. The caller of its methods must hold the log's
// mutex.
type stream struct {
	// first is the lowest offset that is still retained.
	first int64
	// entries has the retained records, and times has the time at which each of
	// them was appended.
	entries []connector.Entry
	times   []time.Time
	// appended is closed and replaced at each append.
	appended chan struct{}
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
	if !l.allowAppend(now) {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	stream := r.PathValue("stream")
	l.notifyAppend(stream, data, StepAppend)
	offset := l.Add(stream, data, now)
	l.notifyAppend(stream, data, StepAppended)
	if l.losesResponse() {
		abort()
	}
	answer(w, struct {
		Offset int64 `json:"offset"`
	}{offset})
}

func (l *Log) allowAppend(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Limit == nil {
		l.Limit = rate.NewLimiter(appendsPerSecond, appendBurst)
	}
	return l.Limit.AllowN(now, 1)
}

// Add appends a record and returns its offset. The rate limit and the faults do not
// apply.
func (l *Log) Add(name string, data []byte, now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.next()
	s.entries = append(s.entries, connector.Entry{Offset: offset, Data: data})
	s.times = append(s.times, now)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// Records returns the retained records of a stream.
func (l *Log) Records(name string) []connector.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]connector.Entry(nil), l.stream(name).entries...)
}

// Trim drops the records of a stream with offsets below first.
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
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// next returns the offset of the next record to be appended.
func (s *stream) next() int64 { return s.first + int64(len(s.entries)) }

func (s *stream) trim(first int64) {
	drop := min(max(0, first-s.first), int64(len(s.entries)))
	s.entries = s.entries[drop:]
	s.times = s.times[drop:]
	s.first += drop
}

// expire drops the records that are older than the retention. A retention of 0
// keeps all records.
func (s *stream) expire(now time.Time, retention time.Duration) {
	if retention == 0 {
		return
	}
	drop := 0
	for drop < len(s.times) && now.Sub(s.times[drop]) > retention {
		drop++
	}
	s.trim(s.first + int64(drop))
}

// read responds with the records from an offset on. If there are none, it waits
// up to "wait" milliseconds for the next append (a long poll).
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
		page, appended := l.page(r.PathValue("stream"), from, time.Now())
		if len(page.Entries) > 0 || page.First > from {
			answer(w, page)
			return
		}
		select {
		case <-appended:
		case <-deadline.C:
			answer(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// page returns at most maxPage records from an offset on, and a channel that is
// closed at the next append to the stream.
func (l *Log) page(name string, from int64, now time.Time) (connector.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.expire(now, l.Retention)
	p := connector.Page{First: s.first, Next: s.next()}
	start := max(0, from-s.first)
	if start < int64(len(s.entries)) {
		end := min(start+maxPage, int64(len(s.entries)))
		p.Entries = append(p.Entries, s.entries[start:end]...)
	}
	return p, s.appended
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
