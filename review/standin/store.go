package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeAnswerTime is the time that an answer of the store takes.
const storeAnswerTime = 4 * time.Millisecond

// partitionKey names one partition of a topic.
type partitionKey struct {
	topic string
	part  int
}

// storedRecord is one record of a partition.
type storedRecord struct {
	data []byte
	at   time.Time
}

// partition is the log of one partition. The records before first have expired.
type partition struct {
	first   int64
	records []storedRecord
	// newest has the newest record of each key, if the partition is keyed.
	newest map[string]newestItem
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// newestItem is the newest record of a key.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// store is a stand-in of the platform's log. Each host has an address of its own at the
// store, so that the store knows who calls.
type store struct {
	record    *record
	retention time.Duration

	mu         sync.Mutex
	partitions map[partitionKey]*partition
	// writer is the host that last appended under a condition; -1 if none has. writes has the
	// number of such appends by host.
	writer  int
	writes  map[int]int
	servers []*http.Server
}

func newStore(r *record, retention time.Duration) *store {
	return &store{record: r, retention: retention, partitions: make(map[partitionKey]*partition), writer: -1, writes: make(map[int]int)}
}

// lastWriter returns the host that last appended under a condition; -1 if none has.
func (s *store) lastWriter() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// busiestWriter calls f and returns the host that appended most often under a condition
// meanwhile.
func (s *store) busiestWriter(f func()) int {
	s.mu.Lock()
	clear(s.writes)
	s.mu.Unlock()
	f()
	s.mu.Lock()
	defer s.mu.Unlock()
	busiest, most := 0, 0
	for host, n := range s.writes {
		if n > most {
			busiest, most = host, n
		}
	}
	return busiest
}

// serve serves the calls of one host at an address.
func (s *store) serve(address string, host int) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(w, r, host) })
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	server := &http.Server{Handler: mux}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// partition returns a partition without its expired records. The caller holds mu.
func (s *store) partition(k partitionKey) *partition {
	p, ok := s.partitions[k]
	if !ok {
		p = &partition{newest: make(map[string]newestItem), appended: make(chan struct{})}
		s.partitions[k] = p
	}
	for len(p.records) > 0 && time.Since(p.records[0].at) > s.retention {
		p.records = p.records[1:]
		p.first++
	}
	return p
}

func keyOf(r *http.Request) partitionKey {
	part, _ := strconv.Atoi(r.FormValue("part"))
	return partitionKey{topic: r.FormValue("topic"), part: part}
}

func isKeyed(k partitionKey) bool { return len(k.topic) > 6 && k.topic[:6] == "keyed." }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, host int) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(raw) >= 4 {
		size := int(binary.BigEndian.Uint32(raw))
		records = append(records, raw[4:4+size])
		raw = raw[4+size:]
	}
	time.Sleep(storeAnswerTime)
	at := int64(-1)
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.ParseInt(text, 10, 64)
	}
	k := keyOf(r)
	offset, end, ok := s.append(k, records, at, host)
	if !ok {
		s.record.logf("store: host %d, append to %s/%d at %d refused, end %d", host, k.topic, k.part, at, end)
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	s.record.logf("store: host %d, append to %s/%d at %d, %d records", host, k.topic, k.part, offset, len(records))
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end": end})
}

// append appends records if at is negative or the partition ends at it.
func (s *store) append(k partitionKey, records [][]byte, at int64, host int) (offset, end int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(k)
	if at >= 0 && at != p.end() {
		return 0, p.end(), false
	}
	if at >= 0 && host >= 0 {
		s.writer = host
		s.writes[host]++
	}
	offset = p.end()
	for _, data := range records {
		if isKeyed(k) {
			key, value := string(data[1:1+int(data[0])]), data[1+int(data[0]):]
			delete(p.newest, key)
			if len(value) > 0 {
				p.newest[key] = newestItem{key, base64.StdEncoding.EncodeToString(value), p.end()}
			}
		}
		p.records = append(p.records, storedRecord{data, time.Now()})
	}
	close(p.appended)
	p.appended = make(chan struct{})
	return offset, p.end(), true
}

// put writes a keyed record for the operator or an upstream.
func (s *store) put(topic, key, value string) {
	data := append([]byte{byte(len(key))}, key...)
	s.append(partitionKey{topic: topic}, [][]byte{append(data, value...)}, -1, -1)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("source"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(storeAnswerTime)
	for waiting := wait > 0; ; {
		raw, first, appended := s.page(keyOf(r), from)
		switch {
		case from < first:
			writeJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		case len(raw) > 16 || !waiting:
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-appended:
		case <-expired:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the body of the answer to a read, the first retained offset, and a channel
// that is closed at the next append.
func (s *store) page(k partitionKey, from int64) (raw []byte, first int64, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(k)
	raw = binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	raw = binary.BigEndian.AppendUint64(raw, uint64(p.first))
	for i := max(0, from-p.first); i < int64(len(p.records)) && len(raw) < 256<<10; i++ {
		data := p.records[i].data
		raw = binary.BigEndian.AppendUint32(raw, uint32(len(data)))
		raw = append(raw, data...)
	}
	return raw, p.first, p.appended
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	p := s.partition(keyOf(r))
	items := make([]newestItem, 0, len(p.newest))
	for _, item := range p.newest {
		items = append(items, item)
	}
	end := p.end()
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}
