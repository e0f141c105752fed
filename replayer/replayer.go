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

// Version is the version of the record format that this reader knows.
const Version = 1

const (
	// readWait is how long the log may hold a read back for new records.
	readWait = 500 * time.Millisecond
	// readBudget bounds a read. A connection that went silent delays the
	// replica by no more.
	readBudget = time.Second
	retryPause = 50 * time.Millisecond
)

// VersionError says that a record comes from a newer version and may not be
// skipped. The replica stops before it.
type VersionError struct {
	Stream string
	Offset int64
}

// Error describes the failure.
func (e *VersionError) Error() string {
	return fmt.Sprintf("stream %s has a record at offset %d that this version does not know",
		e.Stream, e.Offset)
}

// Status is how far a replica has read.
type Status struct {
	// Next is the offset that the replica reads next.
	Next int64
	// Since is the first offset from which the replica has seen every record.
	Since int64
	// Read is when the replica last had an answer from the log.
	Read time.Time
	// Caught says that the replica has once reached the log's end.
	Caught bool
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
	// last is the highest batch sequence applied of each writer.
	last    map[string]uint64
	waiters map[waitKey]chan int64
	caught  chan struct{}
}

type waitKey struct {
	writer   string
	sequence uint64
}

// New returns a replica of a stream.
func New(log connector.Log, stream string, clock func() time.Time, logger zerolog.Logger, hooks ...Prioritized) *Replayer {
	return &Replayer{
		log:     log,
		stream:  stream,
		clock:   clock,
		logger:  logger.With().Str("stream", stream).Logger(),
		hooks:   sorted(hooks),
		last:    make(map[string]uint64),
		waiters: make(map[waitKey]chan int64),
		caught:  make(chan struct{}),
	}
}

// AddHook adds a hook. It must be called before Run.
func (r *Replayer) AddHook(h Prioritized) { r.hooks = sorted(append(r.hooks, h)) }

// Run reads the stream until ctx ends or a record can't be understood.
func (r *Replayer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		page, err := r.read(ctx)
		if err != nil {
			r.logger.Debug().Err(err).Msg("log read failed")
			waiter.Sleep(ctx, retryPause)
			continue
		}
		if err := r.apply(page); err != nil {
			return err
		}
	}
	return nil
}

// Sync reads what the log holds now. After an error the replica may be behind.
func (r *Replayer) Sync(ctx context.Context) error {
	for {
		page, err := r.log.Read(ctx, r.stream, r.Status().Next, 0)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		if err := r.apply(page); err != nil {
			return err
		}
		if r.Status().Next >= page.Next {
			return nil
		}
	}
}

// Status returns how far the replica has read.
func (r *Replayer) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Caught is closed once the replica has reached the log's end.
func (r *Replayer) Caught() <-chan struct{} { return r.caught }

// View calls f with the state locked against further records.
func (r *Replayer) View(f func(Status)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.status)
}

// Await returns a channel that gets the offset of a writer's batch when the
// batch has been applied. It has to be called before the batch is appended.
func (r *Replayer) Await(writer string, sequence uint64) <-chan int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan int64, 1)
	r.waiters[waitKey{writer: writer, sequence: sequence}] = c
	return c
}

func (r *Replayer) read(ctx context.Context) (connector.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readBudget)
	defer cancel()
	status := r.Status()
	wait := readWait
	if !status.Caught {
		// The end of the stream is to be found, not waited for.
		wait = 0
	}
	return r.log.Read(ctx, r.stream, status.Next, wait)
}

func (r *Replayer) apply(page connector.Page) error {
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
	if !r.status.Caught && r.status.Next >= page.Next {
		r.status.Caught = true
		close(r.caught)
	}
	return nil
}

// skipTrimmed moves past records that the log dropped before they were read.
func (r *Replayer) skipTrimmed(first int64) {
	r.status.Next = max(r.status.Next, first)
	if first <= r.status.Since {
		return
	}
	r.status.Since = first
	for _, h := range r.hooks {
		h.Hook.Prune(first)
	}
}

func (r *Replayer) applyEntry(e connector.Entry) error {
	var b recorder.Batch
	if err := proto.Unmarshal(e.Data, &b); err != nil || b.GetVersion() > Version {
		return &VersionError{Stream: r.stream, Offset: e.Offset}
	}
	if b.GetSequence() <= r.last[b.GetWriter()] {
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
	r.last[b.GetWriter()] = b.GetSequence()
	r.notify(waitKey{writer: b.GetWriter(), sequence: b.GetSequence()}, e.Offset)
	return nil
}

func (r *Replayer) notify(k waitKey, offset int64) {
	if c, ok := r.waiters[k]; ok {
		c <- offset
		delete(r.waiters, k)
	}
}
