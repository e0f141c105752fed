package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// appendTime is how long a partition takes for each append, and partBytesPerSecond how fast
	// it takes the records.
	appendTime         = 2 * time.Millisecond
	partBytesPerSecond = 20e6
	// storeBytes is the size of all records together at which appends are refused, and partBytes
	// that of one partition at which its oldest records expire.
	storeBytes = 400e6
	partBytes  = 200e6
	// maxPageItems bounds a page of the newest records.
	maxPageItems = 500
)

// partitionKey names a partition of a topic.
type partitionKey struct {
	topic string
	part  int
}

// partition is the log of one partition.
type partition struct {
	// turn is held by the append that the partition processes.
	turn    sync.Mutex
	first   int64
	records [][]byte
	bytes   int64
	newest  map[string]newestItem
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// newestItem is the newest record of a key.
type newestItem struct {
	value  []byte
	offset int64
}

// end returns the offset of the next record.
func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// store is a stand-in of the platform's store: it keeps logs in memory and serves the calls of
// its protocol that hosts make.
type store struct {
	// bounded is true if appends are refused once the store holds storeBytes.
	bounded bool

	mu         sync.Mutex
	partitions map[partitionKey]*partition
	total      int64
	// full counts the appends that were refused because the store is full, and fullAt is when
	// the first one was.
	full   int
	fullAt time.Time
}

func newStore(bounded bool) *store {
	return &store{bounded: bounded, partitions: make(map[partitionKey]*partition)}
}

// handler serves the protocol of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	mux.HandleFunc("POST /log-trim", s.serveTrim)
	return mux
}

// fill returns the bytes that the store holds, the number of appends that were refused because
// it was full, and when that began.
func (s *store) fill() (bytes int64, refused int, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.full, s.fullAt
}

// partition returns a partition and creates it on first use. The caller must hold mu.
func (s *store) partition(k partitionKey) *partition {
	p, ok := s.partitions[k]
	if !ok {
		p = &partition{newest: make(map[string]newestItem), appended: make(chan struct{})}
		s.partitions[k] = p
	}
	return p
}

// keyOf returns the partition that a call names.
func keyOf(r *http.Request) partitionKey {
	part, _ := strconv.Atoi(r.FormValue("part"))
	return partitionKey{topic: r.URL.Query().Get("topic"), part: part}
}

// number returns a numeric parameter of a call, or a default.
func number(r *http.Request, name string, absent int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return absent
	}
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k := keyOf(r)
	s.mu.Lock()
	p := s.partition(k)
	s.mu.Unlock()
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(raw))/partBytesPerSecond*float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := number(r, "at", -1); at >= 0 && at != p.end() {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": p.end()})
		return
	}
	if s.bounded && s.total+int64(len(raw)) > storeBytes {
		if s.full++; s.full == 1 {
			s.fullAt = time.Now()
		}
		reply(w, http.StatusInsufficientStorage, map[string]string{"why": "full"})
		return
	}
	offset := p.end()
	s.add(k, raw)
	reply(w, http.StatusOK, map[string]int64{"offset": offset, "end": p.end()})
}

// add appends the records of a call. The caller must hold mu.
func (s *store) add(k partitionKey, raw []byte) {
	p := s.partition(k)
	for len(raw) >= 4 {
		size := int(binary.BigEndian.Uint32(raw))
		record := raw[4 : 4+size]
		if bytes.HasPrefix([]byte(k.topic), []byte("keyed.")) {
			p.keep(record)
		}
		p.records = append(p.records, record)
		p.bytes += int64(size) + 4
		s.total += int64(size) + 4
		raw = raw[4+size:]
	}
	for p.bytes > partBytes {
		s.drop(p)
	}
	close(p.appended)
	p.appended = make(chan struct{})
}

// drop drops the oldest record of a partition. The caller must hold mu.
func (s *store) drop(p *partition) {
	size := int64(len(p.records[0])) + 4
	p.records, p.first = p.records[1:], p.first+1
	p.bytes -= size
	s.total -= size
}

// keep makes a record the newest of its key.
func (p *partition) keep(record []byte) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return
	}
	key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = newestItem{value: value, offset: p.end()}
}

// put appends a keyed record.
func (s *store) put(topic, key string, value []byte) {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	raw := append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(partitionKey{topic: topic}, raw)
}

func (s *store) serveTrim(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(keyOf(r))
	for before := number(r, "before", 0); p.first < before && len(p.records) > 0; {
		s.drop(p)
	}
	reply(w, http.StatusOK, map[string]int64{"first": p.first})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	k, from := keyOf(r), number(r, "source", 0)
	most := number(r, "max_kb", 1024) << 10
	expired := time.After(time.Duration(min(30000, number(r, "wait_ms", 0))) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(k)
		first, end, appended := p.first, p.end(), p.appended
		var page [][]byte
		if from >= first && from < end {
			page = p.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if len(page) > 0 {
			writePage(w, first, end, page, most)
			return
		}
		select {
		case <-appended:
			continue
		case <-expired:
		case <-r.Context().Done():
		}
		writePage(w, first, end, nil, most)
		return
	}
}

// writePage sends the records of a page, at least one and at most a number of bytes.
func writePage(w http.ResponseWriter, first, end int64, page [][]byte, most int64) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	sent := int64(0)
	for _, record := range page {
		if sent += int64(len(record)) + 4; sent > most && len(out) > 16 {
			break
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	p := s.partition(keyOf(r))
	items := []item{}
	for key, n := range p.newest {
		if key > after {
			items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(n.value), Offset: n.offset})
		}
	}
	end := p.end()
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
	more := len(items) > maxPageItems
	items = items[:min(len(items), maxPageItems)]
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}
