package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// job is one call and its answer so far. Callers follow it; one that comes
// back follows it again from the position that it has reached.
type job struct {
	call   string
	digest string
	cancel context.CancelFunc

	mu     sync.Mutex
	frames []*messenger.Frame
	// changed is closed and replaced whenever frames are added.
	changed   chan struct{}
	ended     bool
	endedAt   time.Time
	followers int
	// kept says that the job goes on without followers.
	kept bool
}

func newJob(call, digest string, kept bool, cancel context.CancelFunc) *job {
	return &job{call: call, digest: digest, kept: kept, cancel: cancel, changed: make(chan struct{})}
}

// add appends a frame. Frames after the last one are dropped.
func (j *job) add(f *messenger.Frame, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.frames = append(j.frames, f)
	if f.Last() {
		j.ended = true
		j.endedAt = now
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// since returns the frames from an index on, whether the job has ended, and a
// channel that is closed when there are more.
func (j *job) since(index int) ([]*messenger.Frame, bool, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if index > len(j.frames) {
		index = len(j.frames)
	}
	return j.frames[index:len(j.frames):len(j.frames)], j.ended, j.changed
}

// last returns the final frame once the job has ended.
func (j *job) last() (*messenger.Frame, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ended {
		return nil, false
	}
	return j.frames[len(j.frames)-1], true
}

// expired reports whether the answer has been kept long enough.
func (j *job) expired(now time.Time, keep time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended && now.Sub(j.endedAt) > keep
}

func (j *job) join() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.followers++
}

// part removes a follower. The last one to go cancels a job that is not kept.
func (j *job) part() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.followers--
	if j.followers == 0 && !j.kept && !j.ended {
		j.cancel()
	}
}

// follow emits the frames from a position on until the last one.
func (j *job) follow(ctx context.Context, from int64, emit func(*messenger.Frame) error) error {
	j.join()
	defer j.part()
	for index := 0; ; {
		frames, ended, changed := j.since(index)
		for _, f := range frames {
			index++
			if c := f.GetChunk(); c != nil && c.GetPosition() < from {
				continue
			}
			if err := emit(f); err != nil {
				return err
			}
		}
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return refuser.New(refuser.Cancelled, "the caller is gone")
		}
	}
}
