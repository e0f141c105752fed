package forwarder

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/citronpier/citronpier/refuser"
)

const (
	// minRecordingWait and maxRecordingWait bound the time for which large turns are refused after
	// one of them was run and no shard recorded it. The time doubles with each further one: a try
	// costs the caller's budget and an upstream's work.
	minRecordingWait = 5 * time.Second
	maxRecordingWait = 40 * time.Second
	// recordingWaitFactor is the factor by which the time grows.
	recordingWaitFactor = 2
	// timeTolerance is the part by which a turn may have more time than one that was not recorded
	// and still count as one that has as little: a tenth.
	timeTolerance = 10
)

// recordingFailures remembers which large turns the store has not recorded in the time that they
// had. A turn that is as large and has no more time would be run, paid for and cut, too. The zero
// value remembers none. It is safe for concurrent use.
type recordingFailures struct {
	mu sync.Mutex
	// bytes is the size of the smallest turn that was not recorded since one of this size was, in as
	// little time, and left the longest time that such a turn had when it was admitted.
	bytes int
	left  time.Duration
	// until is when the next such turn may be tried, and wait how long the last time was; 0 if no
	// turn has failed.
	until time.Time
	wait  time.Duration
}

// refusal returns how long a turn of some size that has some time left is to be refused, and false
// if it may be tried.
func (f *recordingFailures) refusal(bytes int, left time.Duration, now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wait == 0 || bytes < f.bytes || left-left/timeTolerance > f.left || !now.Before(f.until) {
		return 0, false
	}
	return f.until.Sub(now), true
}

// failed notes that no shard has recorded a turn that had some time left when it was admitted.
func (f *recordingFailures) failed(bytes int, left time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wait == 0 || bytes < f.bytes {
		f.bytes = bytes
	}
	f.left = max(f.left, left)
	if now.Before(f.until) {
		// The turn was admitted before the failure that until counts from.
		return
	}
	f.wait = min(maxRecordingWait, max(minRecordingWait, recordingWaitFactor*f.wait))
	f.until = now.Add(f.wait)
}

// succeeded notes that a turn was recorded some time after it was admitted. One that has taken
// longer than the turns that were not recorded had says nothing about them.
func (f *recordingFailures) succeeded(bytes int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bytes >= f.bytes && took <= f.left {
		f.bytes, f.left, f.until, f.wait = 0, 0, time.Time{}, 0
	}
}

// refuseUnrecorded returns the outcome of a large turn if one as large was not recorded in the time
// that this one has, and nil otherwise.
func (e *exchange) refuseUnrecorded(t *turn, now time.Time) Outcome {
	wait, known := e.recordings.refusal(len(t.input), t.left, now)
	if !known {
		return nil
	}
	return refused(refuser.New(refuser.Log, "the store has not recorded a turn of as many bytes in as much time").WithRetry(wait))
}

// noteRecording remembers whether a large turn was recorded by now. A caller who left says nothing
// about the store.
func (e *exchange) noteRecording(ctx context.Context, t *turn, err error, now time.Time) {
	if !t.isLarge() {
		return
	}
	switch {
	case err == nil:
		e.recordings.succeeded(len(t.input), t.left-e.remaining(now))
	case isUnrecordable(err):
		e.recordings.failed(len(t.input), math.MaxInt64, now)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.recordings.failed(len(t.input), t.left, now)
	}
}
