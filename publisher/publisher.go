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
	// maxAppends is the maximum number of appends of one file. An append is repeated
	// if the file can't be found on the log afterwards. All appends carry the same
	// writer and sequence number, so readers apply only the first.
	maxAppends = 5
	// retryDelay is the base of the delay before a repeated append. Before repeat
	// n, for n = 1, 2 and so on, the delay is retryDelay times 2 to the power of
	// n.
	retryDelay = 200 * time.Millisecond
	// readWait is how long the log may delay its reply to a read while it has no
	// further records.
	readWait = 200 * time.Millisecond
)

// ConflictError reports that a file was not accepted, usually because another
// file with the same base was published first.
type ConflictError struct {
	// Version, Text and Author describe the file that is in force.
	Version int64
	Text    string
	Author  string
}

// Error names the version in force and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s was published first", e.Version, e.Author)
}

// UnresolvedError reports that the publisher could neither find the file on the log
// nor rule out that an append of the file takes effect later.
type UnresolvedError struct{ Cause error }

// Error states the cause.
func (e *UnresolvedError) Error() string {
	return "it is not known whether the file was published: " + e.Cause.Error()
}

// Unwrap returns the error of the last attempt: the error of the read, or the
// error of the append if the read succeeded but did not find the file.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

// A Publisher publishes rule files on the log.
type Publisher struct{ log connector.Log }

// New returns a Publisher that appends to log.
func New(log connector.Log) *Publisher { return &Publisher{log: log} }

// Encode encodes a rule file as a log entry. All entries have the sequence number
// 1, and readers skip a second entry with the same writer and sequence number.
// Therefore each file needs its own writer.
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

// Read replays the rule files on the log into a new Ledger.
func (p *Publisher) Read(ctx context.Context) (*Ledger, error) {
	ledger := &Ledger{}
	if _, err := p.replay(ctx, ledger, ""); err != nil {
		return nil, err
	}
	return ledger, nil
}

// Publish appends a rule file and replays the log to see whether the file was
// accepted. It returns the file's version. It returns a *ConflictError when the
// file was not accepted, and an *UnresolvedError when the outcome is unknown.
func (p *Publisher) Publish(ctx context.Context, file *recorder.RuleFile) (version int64, err error) {
	writer := rand.Text()
	raw, err := Encode(writer, file)
	if err != nil {
		return 0, err
	}
	for try := range maxAppends {
		if try > 0 {
			waiter.Sleep(ctx, retryDelay<<try)
		}
		_, appendErr := p.log.Append(ctx, Stream, raw)
		ledger := &Ledger{}
		offset, readErr := p.replay(ctx, ledger, writer)
		switch {
		case readErr != nil:
			err = readErr
		case offset >= 0:
			return checkAccepted(ledger, offset+1)
		default:
			err = appendErr
		}
	}
	return 0, &UnresolvedError{Cause: err}
}

// checkAccepted returns the version if the publication with that version was
// accepted, and otherwise a *ConflictError with the rules in force.
func checkAccepted(ledger *Ledger, version int64) (int64, error) {
	var winner Publication
	for _, publication := range ledger.History() {
		if publication.Version == version && publication.Accepted {
			return version, nil
		}
		if publication.Accepted {
			winner = publication
		}
	}
	rules := ledger.Rules()
	return 0, &ConflictError{Version: rules.Version, Text: rules.Text, Author: winner.Author}
}

// replay reads the rule stream to its end into a ledger. It returns the offset of
// the writer's first batch, or -1 if there is none, and skips the writer's later
// batches, which are repeats.
func (p *Publisher) replay(ctx context.Context, ledger *Ledger, writer string) (offset int64, err error) {
	offset = -1
	for next := int64(0); ; {
		page, err := p.log.Read(ctx, Stream, next, readWait)
		if err != nil {
			return offset, fmt.Errorf("read log: %w", err)
		}
		for _, e := range page.Entries {
			var b recorder.Batch
			if err := proto.Unmarshal(e.Data, &b); err != nil || b.GetVersion() > replayer.Version {
				return offset, &replayer.VersionError{Stream: Stream, Offset: e.Offset}
			}
			next = e.Offset + 1
			if offset >= 0 && b.GetWriter() == writer {
				continue
			}
			if b.GetWriter() == writer {
				offset = e.Offset
			}
			for _, r := range b.GetRecords() {
				ledger.Apply(e.Offset, r)
			}
		}
		next = max(next, page.First)
		if next >= page.Next {
			return offset, nil
		}
	}
}
