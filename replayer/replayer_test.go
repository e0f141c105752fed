package replayer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/replayer"
)

// pagedLog is a log that returns the given pages one after another, one for each
// Read.
type pagedLog struct {
	connector.Log
	pages []connector.Page
}

func (p *pagedLog) Read(context.Context, string, int64, time.Duration) (connector.Page, error) {
	page := p.pages[0]
	p.pages = p.pages[1:]
	return page, nil
}

// recordingHook records the programs of the finish records that it applies and
// the offsets that Prune is called with.
type recordingHook struct {
	finished []string
	pruned   []int64
}

func (t *recordingHook) Apply(_ int64, r *recorder.Record) {
	t.finished = append(t.finished, r.GetFinish().GetProgram())
}
func (t *recordingHook) Prune(first int64) { t.pruned = append(t.pruned, first) }

// batch returns an encoded batch of the writer "w".
func batch(t *testing.T, version uint32, sequence uint64, records ...*recorder.Record) []byte {
	t.Helper()
	raw, err := proto.Marshal(&recorder.Batch{Version: version, Writer: "w", Sequence: sequence, Records: records})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// finish returns a record that a program has finished.
func finish(program string) *recorder.Record {
	return &recorder.Record{Body: &recorder.Record_Finish{Finish: &recorder.Finish{Program: program}}}
}

// replay syncs a new replica once for each page and returns the hook, the status and
// the first error.
func replay(t *testing.T, pages ...connector.Page) (*recordingHook, replayer.Status, error) {
	t.Helper()
	hook := &recordingHook{}
	r := replayer.New(&pagedLog{pages: pages}, "s", func() time.Time { return time.Time{} }, zerolog.Nop(),
		replayer.Prioritized{Hook: hook})
	for range pages {
		if err := r.Sync(t.Context()); err != nil {
			return hook, r.Status(), err
		}
	}
	return hook, r.Status(), nil
}

// A batch that was appended twice with the same sequence number is applied once.
func TestRepeatedBatchIsAppliedOnce(t *testing.T) {
	repeated := batch(t, 1, 1, finish("a"))
	got, status, err := replay(t, connector.Page{Next: 3, Entries: []connector.Entry{
		{Offset: 0, Data: repeated}, {Offset: 1, Data: repeated}, {Offset: 2, Data: batch(t, 1, 2, finish("b"))},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"a", "b"}, got.finished); diff != "" {
		t.Errorf("applied (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(replayer.Status{Next: 3, CaughtUp: true}, status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// The log removed the records before offset 7 before the replica read them. The
// replica continues from 7, prunes its hooks and reports the gap in
// Status.FirstOffset.
func TestTrimmedOffsetsArePruned(t *testing.T) {
	got, status, err := replay(t, connector.Page{First: 7, Next: 8, Entries: []connector.Entry{
		{Offset: 7, Data: batch(t, 1, 1, finish("a"))},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int64{7}, got.pruned); diff != "" {
		t.Errorf("pruned (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(replayer.Status{Next: 8, FirstOffset: 7, CaughtUp: true}, status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// An unknown record is skipped only when it is marked optional. All other entries
// that can't be read stop the replica.
func TestUnknownRecords(t *testing.T) {
	for _, c := range []struct {
		name    string
		data    []byte
		stopped bool
	}{
		{"optional", batch(t, 1, 1, &recorder.Record{Optional: true}), false},
		{"needed", batch(t, 1, 1, &recorder.Record{}), true},
		{"newer version", batch(t, 2, 1), true},
		{"no batch", []byte{0xff}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := replay(t, connector.Page{Next: 1, Entries: []connector.Entry{{Data: c.data}}})
			var version *replayer.VersionError
			if diff := cmp.Diff(c.stopped, errors.As(err, &version)); diff != "" {
				t.Errorf("stopped (-want +got):\n%s", diff)
			}
		})
	}
}
