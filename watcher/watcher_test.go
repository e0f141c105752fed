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

// record is a keyed record of the tests.
type record struct {
	Key   string
	Value json.RawMessage
}

// decoder reads the tests' records.
type decoder struct{}

func (decoder) Split(raw []byte) (string, []byte, error) {
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

// eager is a store whose reads never wait, as through another host.
type eager struct{ connector.Store }

func (e eager) Read(ctx context.Context, p connector.Partition, from int64, _ time.Duration) (connector.Records, error) {
	return e.Store.Read(ctx, p, from, 0)
}

// world is a watcher and its store.
type world struct {
	store   standin.Store
	watcher *watcher.Watcher
}

func play(t *testing.T, wrap func(connector.Store) connector.Store, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		w.store.Key = func(raw []byte) (string, []byte) {
			key, value, err := decoder{}.Split(raw)
			if err != nil {
				return "", nil
			}
			return key, value
		}
		w.watcher = watcher.New(watcher.Config{
			Store: wrap(w.store.Host("h")), Decoder: decoder{}, Configurations: configurations, Upstreams: upstreams,
			Changed: func() {}, Counters: &counter.Set{}, Logger: zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, run := range []func(context.Context) error{w.watcher.RunConfiguration, w.watcher.RunUpstreams} {
			running.Go(func() { _ = run(ctx) })
		}
		test(t, w)
		cancel()
		running.Wait()
	})
}

func direct(s connector.Store) connector.Store { return s }

func (w *world) put(t *testing.T, p connector.Partition, key, value string) {
	t.Helper()
	raw, err := json.Marshal(record{key, json.RawMessage(value)})
	if err != nil {
		t.Fatal(err)
	}
	if value == "null" {
		raw = []byte(`{"Key":"` + key + `"}`)
	}
	if _, err := w.store.Host("writer").Append(t.Context(), p, [][]byte{raw}, connector.AnyEnd); err != nil {
		t.Fatal(err)
	}
}

func (w *world) version() int64 { return w.watcher.Configuration().Version }

func (w *world) usable(service string) []string {
	list, _ := w.watcher.List()
	var ids []string
	for _, u := range list.Usable(service, time.Now()) {
		ids = append(ids, u.ID)
	}
	return ids
}

// A store that answers reads at once is not asked without pause.
func TestReadsArePaced(t *testing.T) {
	play(t, func(s connector.Store) connector.Store { return eager{s} }, func(t *testing.T, w *world) {
		time.Sleep(10 * time.Second)
		// Five reads of the configuration and two of the upstreams a second, and
		// some at the start.
		if calls := w.store.Calls(); calls > 75 {
			t.Errorf("%d calls in 10 s", calls)
		}
	})
}

// A new version is in force at once, an older one never again, and history that
// the store forgets changes nothing.
func TestVersionsOnlyGrow(t *testing.T) {
	play(t, direct, func(t *testing.T, w *world) {
		var got []int64
		for _, version := range []string{"4", "3", "9", `"garbage"`, "8"} {
			w.put(t, configurations, "config", version)
			time.Sleep(50 * time.Millisecond)
			got = append(got, w.version())
		}
		w.store.Trim(configurations, w.store.Len(configurations))
		w.put(t, configurations, "config", "12")
		time.Sleep(1500 * time.Millisecond)
		got = append(got, w.version())
		if diff := cmp.Diff([]int64{4, 4, 9, 9, 9, 12}, got); diff != "" {
			t.Errorf("versions (-want +got):\n%s", diff)
		}
	})
}

const (
	ready   = `{"id":"u","service":"s","slots":1,"born":5,"beat":3}`
	leaving = `{"id":"u","service":"s","slots":1,"born":5,"beat":4,"leaving":true}`
	late    = `{"id":"u","service":"s","slots":1,"born":5,"beat":3}`
	old     = `{"id":"u","service":"s","slots":1,"born":4,"beat":99}`
	reborn  = `{"id":"u","service":"s","slots":1,"born":6,"beat":0}`
)

func TestWordsOfAnUpstream(t *testing.T) {
	play(t, direct, func(t *testing.T, w *world) {
		var got [][]string
		for _, word := range []string{ready, leaving, late, old, reborn, "7", reborn, "null"} {
			w.put(t, upstreams, "u", word)
			time.Sleep(time.Second)
			got = append(got, w.usable("s"))
		}
		want := [][]string{{"u"}, nil, nil, nil, {"u"}, nil, {"u"}, nil}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("usable (-want +got):\n%s", diff)
		}
	})
}

// Entries that lapsed while the store was away stay in use for a time, and are
// gone when they are still missing then.
func TestLapsedUpstream(t *testing.T) {
	play(t, direct, func(t *testing.T, w *world) {
		w.put(t, upstreams, "u", ready)
		time.Sleep(time.Second)
		var mu sync.Mutex
		away := true
		w.store.SetFault(func(c standin.Call) standin.Effect {
			mu.Lock()
			defer mu.Unlock()
			if away && c.Host == "h" {
				return standin.Refuse
			}
			return standin.Done
		})
		time.Sleep(5 * time.Second)
		w.put(t, upstreams, "u", "null")
		mu.Lock()
		away = false
		mu.Unlock()
		time.Sleep(time.Second)
		got := [][]string{w.usable("s")}
		time.Sleep(3 * time.Second)
		got = append(got, w.usable("s"))
		if diff := cmp.Diff([][]string{{"u"}, nil}, got); diff != "" {
			t.Errorf("usable (-want +got):\n%s", diff)
		}
	})
}
