package publisher

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/replayer"
)

const (
	// tries is the most appends of one file. All carry the same identity.
	tries = 5
	// triesPause is the time between two of them.
	triesPause = 200 * time.Millisecond
	// readWait is how long one read waits for more records.
	readWait = 200 * time.Millisecond
)

// ConflictError says that another file was published first.
type ConflictError struct {
	// Version and Text are the file that is in force.
	Version int64
	Text    string
	Author  string
}

// Error describes the failure.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s was published first", e.Version, e.Author)
}

// UnresolvedError says that it is not known whether the file was published.
type UnresolvedError struct{ Cause error }

// Error describes the failure.
func (e *UnresolvedError) Error() string {
	return "it is not known whether the file was published: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

// A Publisher publishes rule files on the log.
type Publisher struct{ log connector.Log }

// New returns a Publisher on a log.
func New(log connector.Log) *Publisher { return &Publisher{log: log} }

// Encode returns a rule file as one record of the log. The writer must not be
// used for another file.
func Encode(writer string, file *recorder.RuleFile) ([]byte, error) {
	raw, err := proto.Marshal(&recorder.Batch{
		Version: replayer.Version, Writer: writer, Sequence: 1,
		Records: []*recorder.Record{{Body: &recorder.Record_Rules{Rules: file}}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode rules: %w", err)
	}
	return raw, nil
}

// Read replays the log and returns what it says of rule files.
func (p *Publisher) Read(ctx context.Context) (*Ledger, error) {
	state := &Ledger{}
	if _, err := p.replay(ctx, state, ""); err != nil {
		return nil, err
	}
	return state, nil
}

// Publish appends a rule file and reads back whether it won. The file names
// the version that it is based on.
func (p *Publisher) Publish(ctx context.Context, file *recorder.RuleFile) (version int64, err error) {
	writer := rand.Text()
	raw, err := Encode(writer, file)
	if err != nil {
		return 0, err
	}
	for try := range tries {
		if try > 0 {
			waiter.Sleep(ctx, triesPause<<try)
		}
		_, appendErr := p.log.Append(ctx, Stream, raw)
		state := &Ledger{}
		own, readErr := p.replay(ctx, state, writer)
		switch {
		case readErr != nil:
			err = readErr
		case own >= 0:
			return verdict(state, own+1)
		default:
			err = appendErr
		}
	}
	return 0, &UnresolvedError{Cause: err}
}

// verdict says whether the publication with the given version was accepted.
func verdict(state *Ledger, version int64) (int64, error) {
	var winner Publication
	for _, pub := range state.History() {
		if pub.Version == version && pub.Accepted {
			return version, nil
		}
		if pub.Accepted {
			winner = pub
		}
	}
	rules := state.Rules()
	return 0, &ConflictError{Version: rules.Version, Text: rules.Text, Author: winner.Author}
}

// replay applies the stream to a ledger and returns the offset of the first
// record of a writer, or -1.
func (p *Publisher) replay(ctx context.Context, state *Ledger, writer string) (own int64, err error) {
	own = -1
	for next := int64(0); ; {
		page, err := p.log.Read(ctx, Stream, next, readWait)
		if err != nil {
			return own, fmt.Errorf("read log: %w", err)
		}
		for _, e := range page.Entries {
			var b recorder.Batch
			if err := proto.Unmarshal(e.Data, &b); err != nil || b.GetVersion() > replayer.Version {
				return own, &replayer.VersionError{Stream: Stream, Offset: e.Offset}
			}
			next = e.Offset + 1
			if own >= 0 && b.GetWriter() == writer {
				continue
			}
			if b.GetWriter() == writer {
				own = e.Offset
			}
			for _, r := range b.GetRecords() {
				state.Apply(e.Offset, r)
			}
		}
		next = max(next, page.First)
		if next >= page.Next {
			return own, nil
		}
	}
}
