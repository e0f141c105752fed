package publisher_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/recorder"
)

// memoryLog is a log in memory that begins at the offset first. The first
// lostReplies appends add their record but nevertheless return an error.
type memoryLog struct {
	first       int64
	entries     []connector.Entry
	lostReplies int
}

// lostError is the error of an append that took effect.
type lostError struct{}

func (*lostError) Error() string { return "append reply lost" }

func (m *memoryLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	offset := int64(len(m.entries))
	m.entries = append(m.entries, connector.Entry{Offset: offset, Data: data})
	if m.lostReplies > 0 {
		m.lostReplies--
		return 0, &lostError{}
	}
	return offset, nil
}

func (m *memoryLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (connector.Page, error) {
	from = max(from, m.first)
	return connector.Page{First: m.first, Next: int64(len(m.entries)), Entries: m.entries[from:]}, nil
}

const rules = "floor ordinary 10 # Meera: dealers\n"

// publish publishes the test's rules with the given base and author.
func publish(t *testing.T, log connector.Log, base int64, author string) (int64, error) {
	t.Helper()
	return publisher.New(log).Publish(t.Context(), &recorder.RuleFile{Base: base, Text: rules, Author: author})
}

// Two files name the same base: the first is accepted, and the second gets a conflict
// error that names the first. The second author succeeds with the new base.
func TestFirstPublicationOnBaseWins(t *testing.T) {
	log := &memoryLog{}
	if _, err := publish(t, log, 0, "meera"); err != nil {
		t.Fatal(err)
	}
	_, err := publish(t, log, 0, "anil")
	var conflict *publisher.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("second publication with the same base: got error %v, want a conflict", err)
	}
	want := &publisher.ConflictError{Version: 1, Text: rules, Author: "meera"}
	if diff := cmp.Diff(want, conflict); diff != "" {
		t.Errorf("conflict (-want +got):\n%s", diff)
	}
	if version, err := publish(t, log, conflict.Version, "anil"); err != nil || version != 3 {
		t.Errorf("publication on the new base: got version %d, error %v, want version 3", version, err)
	}
}

// A publication whose append replies were lost gets its version from the log, and
// the version stays in force for later readers.
func TestLostAppendReplies(t *testing.T) {
	log := &memoryLog{lostReplies: 2}
	version, err := publish(t, log, 0, "meera")
	if diff := cmp.Diff(int64(1), version); diff != "" || err != nil {
		t.Errorf("version (-want +got):\n%s%v", diff, err)
	}
	ledger, err := publisher.New(log).Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(int64(1), ledger.Rules().Version); diff != "" {
		t.Errorf("in force (-want +got):\n%s", diff)
	}
}

// A file with an older version, adopted from a host or replayed late from the log,
// does not replace a newer file.
func TestVersionNeverDecreases(t *testing.T) {
	var l publisher.Ledger
	apply := func(offset, base int64) {
		l.Apply(offset, &recorder.Record{Body: &recorder.Record_Rules{
			Rules: &recorder.RuleFile{Base: base, Text: rules},
		}})
	}
	apply(0, 0)
	apply(4, 1)
	if err := l.Adopt(3, rules); err != nil {
		t.Fatal(err)
	}
	apply(2, 5)
	if diff := cmp.Diff(int64(5), l.Rules().Version); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
	if err := l.Adopt(9, rules); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(int64(9), l.Rules().Version); diff != "" {
		t.Errorf("adopted version (-want +got):\n%s", diff)
	}
}
