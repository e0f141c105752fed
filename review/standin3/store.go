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
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the most items in a reply to log-newest.
	pageItems = 500
	// appendTime is how long the store takes for an append.
	appendTime = 2 * time.Millisecond
)

// partition is the log of one partition of a topic. It keeps all records.
type partition struct {
	records [][]byte
	// newest has the offset of the newest record of each key, in a keyed topic.
	newest map[string]int64
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// appendCall is an append that the store has carried out.
type appendCall struct {
	// host is the number of the host that made the call.
	host  int
	topic string
	part  int
}

// store is a stand-in for the platform's store. It is safe for concurrent use.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	// afterAppend is called after an append of a host and before its answer; nil calls nothing.
	afterAppend func(appendCall)
	servers     []*http.Server
}

func newStore() *store { return &store{partitions: make(map[string]*partition)} }

// serve starts a listener for one host and returns its address.
func (s *store) serve(host int) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, host) })
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	server := &http.Server{Handler: mux}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// setAfterAppend sets what is called after each append of a host.
func (s *store) setAfterAppend(f func(appendCall)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterAppend = f
}

// partition returns a partition. The caller holds mu.
func (s *store) partition(topic string, part int) *partition {
	key := topic + "/" + strconv.Itoa(part)
	p, ok := s.partitions[key]
	if !ok {
		p = &partition{newest: make(map[string]int64), appended: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

// add appends records if the partition ends at an offset; -1 is any. It returns the end.
func (s *store) add(topic string, part int, records [][]byte, at int64) (end int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if at >= 0 && at != int64(len(p.records)) {
		return int64(len(p.records)), false
	}
	for _, r := range records {
		if strings.HasPrefix(topic, "keyed.") && len(r) > 0 && len(r) >= 1+int(r[0]) {
			key := string(r[1 : 1+int(r[0])])
			p.newest[key] = int64(len(p.records))
			if len(r) == 1+int(r[0]) {
				delete(p.newest, key)
			}
		}
		p.records = append(p.records, r)
	}
	close(p.appended)
	p.appended = make(chan struct{})
	return int64(len(p.records)), true
}

// put writes a keyed record, as the operator or an upstream does.
func (s *store) put(topic, key, value string) {
	record := append([]byte{byte(len(key))}, key...)
	s.add(topic, 0, [][]byte{append(record, value...)}, -1)
}

func place(r *http.Request) (topic string, part int) {
	part, _ = strconv.Atoi(r.FormValue("part"))
	return r.FormValue("topic"), part
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, host int) {
	topic, part := place(r)
	at := int64(-1)
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.ParseInt(text, 10, 64)
	}
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
	time.Sleep(appendTime)
	end, ok := s.add(topic, part, records, at)
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	s.mu.Lock()
	after := s.afterAppend
	s.mu.Unlock()
	if after != nil {
		after(appendCall{host: host, topic: topic, part: part})
	}
	reply(w, http.StatusOK, map[string]int64{"offset": end - int64(len(records)), "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	topic, part := place(r)
	from, _ := strconv.ParseInt(r.FormValue("source"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	maxKB, err := strconv.Atoi(r.FormValue("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(topic, part)
		records, appended := p.records, p.appended
		s.mu.Unlock()
		if int64(len(records)) > from || wait == 0 {
			writePage(w, records, from, maxKB<<10)
			return
		}
		select {
		case <-appended:
		case <-r.Context().Done():
			return
		case <-timeout:
			wait = 0
		}
	}
}

// writePage writes the records of a partition from an offset on.
func writePage(w io.Writer, records [][]byte, from int64, limit int) {
	raw := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	raw = binary.BigEndian.AppendUint64(raw, 0)
	for i := from; i < int64(len(records)); i++ {
		if i > from && len(raw)+len(records[i]) > limit {
			break
		}
		raw = binary.BigEndian.AppendUint32(raw, uint32(len(records[i])))
		raw = append(raw, records[i]...)
	}
	_, _ = w.Write(raw)
}

// newestItem is an item of a reply to log-newest.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	topic, part := place(r)
	after := r.FormValue("after")
	s.mu.Lock()
	p := s.partition(topic, part)
	items := []newestItem{}
	for key, offset := range p.newest {
		if key > after {
			value := p.records[offset][1+len(key):]
			items = append(items, newestItem{key, base64.StdEncoding.EncodeToString(value), offset})
		}
	}
	end := len(p.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has_more": more, "end": end})
}
