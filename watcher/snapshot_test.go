package watcher_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/standin"
)

// A Watcher passes on the newest record of each key: later records replace earlier ones,
// removed keys are gone, and the end is where another host continues to read. While the
// store does not answer, the records are too old to be passed on.
func TestFollowed(t *testing.T) {
	runWatcher(t, direct, func(t *testing.T, f *fixture) {
		passedOn := func() (values map[string]string, end int64, ok bool) {
			newest, ok := f.watcher.Followed(upstreams)
			values = make(map[string]string)
			for _, item := range newest.Items {
				values[item.Key] = string(item.Value)
			}
			return values, newest.End, ok
		}
		f.put(t, upstreams, "a", `{"id":"a","service":"s"}`)
		f.put(t, upstreams, "b", `{"id":"b","service":"s"}`)
		time.Sleep(2 * time.Second)
		f.put(t, upstreams, "a", `{"id":"a","service":"s","leaving":true}`)
		f.put(t, upstreams, "b", "null")
		time.Sleep(2 * time.Second)
		values, end, ok := passedOn()
		want := map[string]string{"a": `{"id":"a","service":"s","leaving":true}`}
		if diff := cmp.Diff(want, values); diff != "" || end != 4 || !ok {
			t.Errorf("passed on %t, end %d, records (-want +got):\n%s", ok, end, diff)
		}
		f.store.SetFault(func(standin.Call) standin.Effect { return standin.Refuse })
		time.Sleep(4 * time.Second)
		if _, _, ok := passedOn(); ok {
			t.Error("old records are passed on while the store is unreachable")
		}
		if _, ok := f.watcher.Followed(connector.Partition{Topic: "other"}); ok {
			t.Error("records of a partition that is not followed are passed on")
		}
	})
}
