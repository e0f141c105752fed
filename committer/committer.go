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
	// groupDelay is how long the committer waits after the first record is
	// queued, so that further records share one append.
	groupDelay = 2 * time.Millisecond
	// groupBytes is the encoded size at which a group is full and takes no
	// further record.
	groupBytes = 256 << 10
	// maxQueued is the maximum number of records that may wait for an append.
	maxQueued = 4096
	// appendTimeout bounds one append request. It is also how long the committer
	// waits for the replica to read a successful append back before the committer
	// repeats the append.
	appendTimeout = 2 * time.Second
)

// QueueFullError reports that Submit rejected a record because the queue is full.
// Waiting is the number of queued records.
type QueueFullError struct{ Waiting int }

// Error states how many records are queued.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("commit queue is full: %d records wait for the log", e.Waiting)
}

// WithdrawnError reports that Withdraw removed a record from the queue before
// any attempt to append it. The record is certainly not in the log.
type WithdrawnError struct{}

// Error implements the error interface.
func (*WithdrawnError) Error() string { return "record was withdrawn before any append of it" }

// Pending is a submitted record. Whether it is committed may not be known yet.
type Pending struct {
	record *recorder.Record
	// done is closed once offset and err are set.
	done   chan struct{}
	offset int64
	err    error
}

// Done returns a channel that is closed when the record is committed or
// withdrawn, or when the committer stops during the record's append.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Offset returns the log offset of the record's batch, or why the record was
// not committed. It must be called only after Done is closed.
func (p *Pending) Offset() (int64, error) { return p.offset, p.err }

// resolve sets the record's outcome and closes done.
func (p *Pending) resolve(offset int64, err error) {
	p.offset = offset
	p.err = err
	close(p.done)
}

// A Committer appends the records of one host incarnation (one run of the host's
// process) to one log stream. It has at most one batch in flight.
type Committer struct {
	log     connector.Log
	replica *replayer.Replayer
	stream  string
	writer  string
	logger  zerolog.Logger
	wake    chan struct{}

	mu sync.Mutex
	// queue holds the records for which no append was attempted yet, in the
	// order of submission.
	queue []*Pending
	// appends counts the append attempts, including repeats.
	appends int64
}

// New returns a Committer that appends to stream. The replica must read the
// same stream. writer identifies the host incarnation. It must not be used twice,
// because each writer's sequence numbers start from 1.
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

// Submit queues a record for the next append and returns without waiting for
// it. It returns a *QueueFullError when the queue is full.
func (c *Committer) Submit(record *recorder.Record) (*Pending, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) >= maxQueued {
		return nil, &QueueFullError{Waiting: len(c.queue)}
	}
	p := &Pending{record: record, done: make(chan struct{})}
	c.queue = append(c.queue, p)
	c.signal()
	return p, nil
}

// signal wakes Run without blocking. If Run has not received the previous signal
// yet, a further signal is not needed and is dropped.
func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Commit queues a record, waits until it is committed and returns its offset.
// When ctx ends first, Commit withdraws the record. If an append was already
// attempted by then, the record may still get into the log.
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

// Withdraw removes a record from the queue. It returns false when the record is
// no longer queued, which means that it may be in the log.
func (c *Committer) Withdraw(p *Pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, q := range c.queue {
		if q == p {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			p.resolve(0, &WithdrawnError{})
			return true
		}
	}
	return false
}

// Appends returns the number of append attempts so far, including repeats.
func (c *Committer) Appends() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appends
}

// Run appends the queued records in groups until ctx ends. If a batch can't be
// encoded, Run appends nothing more and also returns nil.
func (c *Committer) Run(ctx context.Context) error {
	for sequence := uint64(1); ; sequence++ {
		group, ok := c.nextGroup(ctx)
		if !ok {
			return nil
		}
		offset, err := c.commitGroup(ctx, sequence, group)
		for _, p := range group {
			p.resolve(offset, err)
		}
		if err != nil {
			return nil
		}
	}
}

// nextGroup waits until records are queued and removes a group of them from the
// queue. It returns false when ctx ends.
func (c *Committer) nextGroup(ctx context.Context) ([]*Pending, bool) {
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-c.wake:
		}
		waiter.Sleep(ctx, groupDelay)
		if group := c.takeGroup(); len(group) > 0 {
			return group, true
		}
	}
}

// takeGroup removes records from the front of the queue until their encoded size
// reaches groupBytes. It wakes Run again when records remain.
func (c *Committer) takeGroup() []*Pending {
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

// commitGroup repeats the append of one batch until the replica has read the
// batch back, and returns its offset. All repeats carry the same sequence number,
// so readers apply only the first copy.
func (c *Committer) commitGroup(ctx context.Context, sequence uint64, group []*Pending) (int64, error) {
	batch := &recorder.Batch{Version: replayer.Version, Writer: c.writer, Sequence: sequence}
	for _, p := range group {
		batch.Records = append(batch.Records, p.record)
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		return 0, fmt.Errorf("encode batch: %w", err)
	}
	applied := c.replica.Await(c.writer, sequence)
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = 20 * time.Millisecond
	retryBackoff.MaxInterval = time.Second
	for {
		appended := c.tryAppend(ctx, data)
		wait := retryBackoff.NextBackOff()
		if appended {
			wait = appendTimeout
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

// tryAppend makes one append request. It returns false when the outcome of the
// append is unknown.
func (c *Committer) tryAppend(ctx context.Context, data []byte) bool {
	c.mu.Lock()
	c.appends++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := c.log.Append(ctx, c.stream, data)
	if err != nil {
		c.logger.Debug().Err(err).Msg("append to the log failed")
	}
	return err == nil
}
