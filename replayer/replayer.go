package replayer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/recorder"
)

// Version is the newest version of the batch format that this package can read.
const Version = 1

const (
	// readWait is how long the log may delay its reply to a read while it has no
	// new records (long polling).
	readWait = 500 * time.Millisecond
	// readTimeout bounds one read, including readWait. It also bounds how long a
	// dead connection delays the replica.
	readTimeout = time.Second
	// retryDelay is the time between a failed read and the next read.
	retryDelay = 50 * time.Millisecond
)

// VersionError reports a record that can't be decoded or belongs to a newer
// version, and that must not be skipped. The replica stops before Offset.
type VersionError struct {
	Stream string
	Offset int64
}

// Error names the stream and the offset.
func (e *VersionError) Error() string {
	return fmt.Sprintf("stream %s: record at offset %d is not readable by this version",
		e.Stream, e.Offset)
}

// Status describes how far a replica has read its stream.
type Status struct {
	// Next is the offset of the next record to read.
	Next int64
	// The replica has read all records from FirstOffset, inclusive, to Next,
	// exclusive. Older records may be missing from its state.
	FirstOffset int64
	// Read is the time of the log's last reply.
	Read time.Time
	// CaughtUp is true once the replica has reached the end of the stream for the
	// first time. It stays true when the replica falls behind later.
	CaughtUp bool
}

// A Replayer is one replica of a log stream.
type Replayer struct {
	log    connector.Log
	stream string
	clock  func() time.Time
	logger zerolog.Logger
	hooks  []Prioritized

	mu     sync.Mutex
	status Status
	// lastSequence is the highest batch sequence number applied, by writer.
	// Batches up to this number are repeats and are skipped.
	lastSequence map[string]uint64
	// waiters holds the channels that Await returned and that have not received
	// an offset yet.
	waiters map[waitKey]chan int64
	// caught is closed when status.CaughtUp becomes true.
	caught chan struct{}
}

// waitKey identifies a batch that a caller of Await waits for.
type waitKey struct {
	writer   string
	sequence uint64
}

// New returns a replica of stream that reads from offset 0 and applies each
// record to all hooks. The clock gives the time for Status.Read.
func New(log connector.Log, stream string, clock func() time.Time, logger zerolog.Logger, hooks ...Prioritized) *Replayer {
	return &Replayer{
		log:          log,
		stream:       stream,
		clock:        clock,
		logger:       logger.With().Str("stream", stream).Logger(),
		hooks:        sortByPriority(hooks),
		lastSequence: make(map[string]uint64),
		waiters:      make(map[waitKey]chan int64),
		caught:       make(chan struct{}),
	}
}

// AddHook adds a hook. It must be called before Run or Sync.
func (r *Replayer) AddHook(h Prioritized) { r.hooks = sortByPriority(append(r.hooks, h)) }

// Run reads and applies the stream until ctx ends, and then returns nil. Failed
// reads are repeated. A record that can't be read ends Run with a *VersionError.
func (r *Replayer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		page, err := r.readPage(ctx)
		if err != nil {
			r.logger.Debug().Err(err).Msg("read of the log failed")
			waiter.Sleep(ctx, retryDelay)
			continue
		}
		if err := r.applyPage(page); err != nil {
			return err
		}
	}
	return nil
}

// Sync reads and applies the records up to the present end of the stream. When it
// returns an error, the replica may have applied only some of them.
func (r *Replayer) Sync(ctx context.Context) error {
	for {
		page, err := r.log.Read(ctx, r.stream, r.Status().Next, 0)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		if err := r.applyPage(page); err != nil {
			return err
		}
		if r.Status().Next >= page.Next {
			return nil
		}
	}
}

// Status returns the replica's present status.
func (r *Replayer) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// CaughtUp returns a channel that is closed once the replica has reached the end
// of the stream for the first time.
func (r *Replayer) CaughtUp() <-chan struct{} { return r.caught }

// View calls f with the replica locked, so that no record is applied while f
// reads the state of the hooks. f must not call other methods of the replica.
func (r *Replayer) View(f func(Status)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.status)
}

// Await returns a channel that receives the offset of a writer's batch once the
// batch is applied. Await must be called before the batch is appended: a batch
// that is applied before the call is never reported.
func (r *Replayer) Await(writer string, sequence uint64) <-chan int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan int64, 1)
	r.waiters[waitKey{writer: writer, sequence: sequence}] = c
	return c
}

// readPage reads the next page. Until the replica has caught up, the log replies
// at once.
func (r *Replayer) readPage(ctx context.Context) (connector.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	status := r.Status()
	wait := readWait
	if !status.CaughtUp {
		// The log must not wait for new records here: an empty page shows that
		// the replica has reached the end of the stream.
		wait = 0
	}
	return r.log.Read(ctx, r.stream, status.Next, wait)
}

// applyPage applies the entries of a page that are not applied yet and updates
// the status.
func (r *Replayer) applyPage(page connector.Page) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipTrimmed(page.First)
	for _, e := range page.Entries {
		if e.Offset < r.status.Next {
			continue
		}
		if err := r.applyEntry(e); err != nil {
			return err
		}
		r.status.Next = e.Offset + 1
	}
	r.status.Read = r.clock()
	if !r.status.CaughtUp && r.status.Next >= page.Next {
		r.status.CaughtUp = true
		close(r.caught)
	}
	return nil
}

// skipTrimmed skips records that the log removed before the replica read them. If
// first, the first offset that the log retains, has grown, skipTrimmed prunes the
// hooks.
func (r *Replayer) skipTrimmed(first int64) {
	r.status.Next = max(r.status.Next, first)
	if first <= r.status.FirstOffset {
		return
	}
	r.status.FirstOffset = first
	for _, h := range r.hooks {
		h.Hook.Prune(first)
	}
}

// applyEntry applies the batch of one log entry, unless a batch of the same writer
// with the same or a higher sequence number was applied before.
func (r *Replayer) applyEntry(e connector.Entry) error {
	var b recorder.Batch
	if err := proto.Unmarshal(e.Data, &b); err != nil || b.GetVersion() > Version {
		return &VersionError{Stream: r.stream, Offset: e.Offset}
	}
	if b.GetSequence() <= r.lastSequence[b.GetWriter()] {
		return nil
	}
	for _, record := range b.GetRecords() {
		if record.GetBody() == nil && !record.GetOptional() {
			return &VersionError{Stream: r.stream, Offset: e.Offset}
		}
		for _, h := range r.hooks {
			h.Hook.Apply(e.Offset, record)
		}
	}
	r.lastSequence[b.GetWriter()] = b.GetSequence()
	r.notifyWaiter(waitKey{writer: b.GetWriter(), sequence: b.GetSequence()}, e.Offset)
	return nil
}

// notifyWaiter sends the offset of an applied batch to the channel that waits for
// this batch, if there is one.
func (r *Replayer) notifyWaiter(k waitKey, offset int64) {
	if c, ok := r.waiters[k]; ok {
		c <- offset
		delete(r.waiters, k)
	}
}
