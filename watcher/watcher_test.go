package watcher_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/standin"
	"github.com/citronpier/citronpier/watcher"
)

var (
	configurations = connector.Partition{Topic: "configurations"}
	upstreams      = connector.Partition{Topic: "upstreams"}
)

// record is the JSON form of a keyed record in the tests.
type record struct {
	Key   string
	Value json.RawMessage
}

// decoder is the watcher.Decoder for the tests' JSON records.
type decoder struct{}

func (decoder) DecodeKeyed(raw []byte) (string, []byte, error) {
	var r record
	err := json.Unmarshal(raw, &r)
	return r.Key, r.Value, err
}

func (decoder) Configuration(_ string, value []byte) (descriptor.Configuration, bool, error) {
	var c descriptor.Configuration
	err := json.Unmarshal(value, &c.Version)
	return c, true, err
}

func (decoder) Upstream(_ string, value []byte) (descriptor.Upstream, error) {
	var u descriptor.Upstream
	err := json.Unmarshal(value, &u)
	return u, err
}

// neverWaitingStore is a store whose reads return at once even if there are no new
// records, as reads that are relayed through another host do.
type neverWaitingStore struct{ connector.Store }

func (e neverWaitingStore) Read(ctx context.Context, p connector.Partition, from int64, _ time.Duration) (connector.Records, error) {
	return e.Store.Read(ctx, p, from, 0)
}

// fixture holds a watcher and the store that it reads.
type fixture struct {
	store   standin.Store
	watcher *watcher.Watcher
}

// runWatcher runs test in a synctest bubble while a watcher follows a new store.
// The watcher reads the store through the result of wrap.
func runWatcher(t *testing.T, wrap func(connector.Store) connector.Store, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{}
		f.store.Key = func(raw []byte) (string, []byte) {
			key, value, err := decoder{}.DecodeKeyed(raw)
			if err != nil {
				return "", nil
			}
			return key, value
		}
		booted := time.Now()
		f.watcher = watcher.New(watcher.Config{
			Uptime: func() time.Duration { return time.Since(booted) },
			Store:  wrap(f.store.Host("h")), Decoder: decoder{}, Configurations: configurations, Upstreams: upstreams,
			Changed: func() {}, Counters: &counter.Set{}, Logger: zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var goroutines sync.WaitGroup
		for _, run := range []func(context.Context) error{f.watcher.RunConfiguration, f.watcher.RunUpstreams} {
			goroutines.Go(func() { _ = run(ctx) })
		}
		test(t, f)
		cancel()
		goroutines.Wait()
	})
}

// direct is a wrap function for runWatcher that leaves the store as it is.
func direct(s connector.Store) connector.Store { return s }

// put appends a record with a key and a value to a partition. The value "null"
// removes the key.
func (f *fixture) put(t *testing.T, p connector.Partition, key, value string) {
	t.Helper()
	raw, err := json.Marshal(record{key, json.RawMessage(value)})
	if err != nil {
		t.Fatal(err)
	}
	if value == "null" {
		raw = []byte(`{"Key":"` + key + `"}`)
	}
	if _, err := f.store.Host("writer").Append(t.Context(), p, [][]byte{raw}, connector.AnyEnd); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) version() int64 { return f.watcher.Configuration().Version }

// usable returns the ids of the upstreams of a service that may be sent requests.
func (f *fixture) usable(service string) []string {
	list, _ := f.watcher.List()
	var ids []string
	for _, u := range list.Usable(service, time.Now()) {
		ids = append(ids, u.ID)
	}
	return ids
}

// Reads that return at once do not make the watcher read in a busy loop.
func TestReadsArePaced(t *testing.T) {
	runWatcher(t, func(s connector.Store) connector.Store { return neverWaitingStore{s} }, func(t *testing.T, f *fixture) {
		time.Sleep(10 * time.Second)
		// The expected calls are 5 reads of the configuration and 2 reads of the
		// upstreams each second, and a few more at the start.
		if calls := f.store.Calls(); calls > 75 {
			t.Errorf("%d calls in 10 s", calls)
		}
	})
}

// A configuration with a higher version takes effect at once; an older or malformed
// configuration is ignored. The watcher continues after the store trims records.
func TestVersionsOnlyGrow(t *testing.T) {
	runWatcher(t, direct, func(t *testing.T, f *fixture) {
		var got []int64
		for _, version := range []string{"4", "3", "9", `"garbage"`, "8"} {
			f.put(t, configurations, "config", version)
			time.Sleep(50 * time.Millisecond)
			got = append(got, f.version())
		}
		f.store.Trim(configurations, f.store.Len(configurations))
		f.put(t, configurations, "config", "12")
		time.Sleep(1500 * time.Millisecond)
		got = append(got, f.version())
		if diff := cmp.Diff([]int64{4, 4, 9, 9, 9, 12}, got); diff != "" {
			t.Errorf("versions (-want +got):\n%s", diff)
		}
	})
}

// The records of upstream u in TestUpstreamEntriesInOrder. The field born orders
// incarnations, and the field beat orders the records of one incarnation.
const (
	ready               = `{"id":"u","service":"s","slots":1,"born":5,"beat":3}`
	leaving             = `{"id":"u","service":"s","slots":1,"born":5,"beat":4,"leaving":true}`
	outdatedReady       = `{"id":"u","service":"s","slots":1,"born":5,"beat":3}`
	previousIncarnation = `{"id":"u","service":"s","slots":1,"born":4,"beat":99}`
	nextIncarnation     = `{"id":"u","service":"s","slots":1,"born":6,"beat":0}`
)

// A record of an upstream takes effect only if it is newer than the known record: a
// later record of the same incarnation, or any record of a later incarnation. A
// malformed record and a removal make the upstream unusable.
func TestUpstreamEntriesInOrder(t *testing.T) {
	runWatcher(t, direct, func(t *testing.T, f *fixture) {
		var got [][]string
		for _, entry := range []string{ready, leaving, outdatedReady, previousIncarnation, nextIncarnation, "7", nextIncarnation, "null"} {
			f.put(t, upstreams, "u", entry)
			time.Sleep(time.Second)
			got = append(got, f.usable("s"))
		}
		want := [][]string{{"u"}, nil, nil, nil, {"u"}, nil, {"u"}, nil}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("usable (-want +got):\n%s", diff)
		}
	})
}

// An upstream whose record was removed while the store was unavailable stays
// usable for a while after the outage. If it does not publish a new record by
// then, it becomes unusable.
func TestUpstreamRemovedDuringOutage(t *testing.T) {
	runWatcher(t, direct, func(t *testing.T, f *fixture) {
		f.put(t, upstreams, "u", ready)
		time.Sleep(time.Second)
		var mu sync.Mutex
		unavailable := true
		f.store.SetFault(func(c standin.Call) standin.Effect {
			mu.Lock()
			defer mu.Unlock()
			if unavailable && c.Host == "h" {
				return standin.Refuse
			}
			return standin.Done
		})
		time.Sleep(5 * time.Second)
		f.put(t, upstreams, "u", "null")
		mu.Lock()
		unavailable = false
		mu.Unlock()
		time.Sleep(time.Second)
		got := [][]string{f.usable("s")}
		time.Sleep(3 * time.Second)
		got = append(got, f.usable("s"))
		if diff := cmp.Diff([][]string{{"u"}, nil}, got); diff != "" {
			t.Errorf("usable (-want +got):\n%s", diff)
		}
	})
}
