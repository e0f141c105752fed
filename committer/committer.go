package committer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/replayer"
)

const (
	// groupDelay is how long the first record of a group waits for others.
	groupDelay = 2 * time.Millisecond
	// groupBytes is the size at which a group is closed.
	groupBytes = 256 << 10
	// queueRecords is the most records that wait for an append.
	queueRecords = 4096
	// appendBudget is how long one append may take before it is repeated.
	appendBudget = 2 * time.Second
)

// FullError says that too many records wait for the log.
type FullError struct{ Waiting int }

// Error describes the failure.
func (e *FullError) Error() string { return fmt.Sprintf("%d records wait for the log", e.Waiting) }

// WithdrawnError says that a record was taken back before any append of it.
type WithdrawnError struct{}

// Error describes the failure.
func (*WithdrawnError) Error() string { return "record was withdrawn before it was appended" }

// Pending is a record on its way into the log.
type Pending struct {
	record *recorder.Record
	// done is closed once offset and err are set.
	done   chan struct{}
	offset int64
	err    error
}

// Done is closed when the record is committed or withdrawn.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Offset returns the record's offset after Done is closed.
func (p *Pending) Offset() (int64, error) { return p.offset, p.err }

func (p *Pending) finish(offset int64, err error) {
	p.offset = offset
	p.err = err
	close(p.done)
}

// A Committer appends the records of one incarnation to one stream.
type Committer struct {
	log     connector.Log
	replica *replayer.Replayer
	stream  string
	writer  string
	logger  zerolog.Logger
	wake    chan struct{}

	mu sync.Mutex
	// queue holds the records that no append was tried for.
	queue []*Pending
	// appends counts the append attempts.
	appends int64
}

// New returns a Committer. The writer names the incarnation.
func New(log connector.Log, replica *replayer.Replayer, stream, writer string, logger zerolog.Logger) *Committer {
	return &Committer{
		log:     log,
		replica: replica,
		stream:  stream,
		writer:  writer,
		logger:  logger,
		wake:    make(chan struct{}, 1),
	}
}

// Submit queues a record.
func (c *Committer) Submit(record *recorder.Record) (*Pending, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) >= queueRecords {
		return nil, &FullError{Waiting: len(c.queue)}
	}
	p := &Pending{record: record, done: make(chan struct{})}
	c.queue = append(c.queue, p)
	c.signal()
	return p, nil
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Commit queues a record and waits until it is committed. When ctx ends first,
// the record is withdrawn; where an append was already tried, it may still get
// into the log.
func (c *Committer) Commit(ctx context.Context, record *recorder.Record) (int64, error) {
	p, err := c.Submit(record)
	if err != nil {
		return 0, err
	}
	select {
	case <-p.Done():
		return p.Offset()
	case <-ctx.Done():
		c.Withdraw(p)
		return 0, fmt.Errorf("commit: %w", ctx.Err())
	}
}

// Withdraw takes a record back and reports whether no append of it was tried.
func (c *Committer) Withdraw(p *Pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, q := range c.queue {
		if q == p {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			p.finish(0, &WithdrawnError{})
			return true
		}
	}
	return false
}

// Appends returns the number of append attempts so far.
func (c *Committer) Appends() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appends
}

// Run appends groups until ctx ends.
func (c *Committer) Run(ctx context.Context) error {
	for sequence := uint64(1); ; sequence++ {
		group, ok := c.next(ctx)
		if !ok {
			return nil
		}
		offset, err := c.write(ctx, sequence, group)
		for _, p := range group {
			p.finish(offset, err)
		}
		if err != nil {
			return nil
		}
	}
}

// next waits for records and takes a group.
func (c *Committer) next(ctx context.Context) ([]*Pending, bool) {
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-c.wake:
		}
		waiter.Sleep(ctx, groupDelay)
		if group := c.take(); len(group) > 0 {
			return group, true
		}
	}
}

func (c *Committer) take() []*Pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	size, n := 0, 0
	for n < len(c.queue) && size < groupBytes {
		size += proto.Size(c.queue[n].record)
		n++
	}
	group := c.queue[:n:n]
	c.queue = append([]*Pending(nil), c.queue[n:]...)
	if len(c.queue) > 0 {
		c.signal()
	}
	return group
}

// write repeats the append of one batch until the replica has read it back.
// Repeats carry the same sequence number, so that readers apply one of them.
func (c *Committer) write(ctx context.Context, sequence uint64, group []*Pending) (int64, error) {
	batch := &recorder.Batch{Version: replayer.Version, Writer: c.writer, Sequence: sequence}
	for _, p := range group {
		batch.Records = append(batch.Records, p.record)
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		return 0, fmt.Errorf("encode batch: %w", err)
	}
	applied := c.replica.Await(c.writer, sequence)
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = 20 * time.Millisecond
	retries.MaxInterval = time.Second
	for {
		appended := c.append(ctx, data)
		wait := retries.NextBackOff()
		if appended {
			wait = appendBudget
		}
		select {
		case offset := <-applied:
			return offset, nil
		case <-ctx.Done():
			return 0, fmt.Errorf("append: %w", ctx.Err())
		case <-time.After(wait):
		}
	}
}

func (c *Committer) append(ctx context.Context, data []byte) bool {
	c.mu.Lock()
	c.appends++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, appendBudget)
	defer cancel()
	_, err := c.log.Append(ctx, c.stream, data)
	if err != nil {
		c.logger.Debug().Err(err).Msg("append failed")
	}
	return err == nil
}
