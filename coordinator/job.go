package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// job holds one call and the frames of its answer so far. Several callers may
// follow a job at once. A caller that reconnects follows the job from the position
// that the caller has reached.
type job struct {
	callID string
	// digest is the requestDigest of the request that started the job.
	digest string
	cancel context.CancelFunc

	mu     sync.Mutex
	frames []*messenger.Frame
	// changed is closed and replaced whenever frames are added.
	changed chan struct{}
	ended   bool
	endedAt time.Time
	// followers is the number of callers that follow the job now.
	followers int
	// runsWithoutFollowers keeps the job running when its last follower leaves. It
	// is set for calls with an idempotency key, which callers may ask for again.
	runsWithoutFollowers bool
}

func newJob(callID, digest string, runsWithoutFollowers bool, cancel context.CancelFunc) *job {
	return &job{callID: callID, digest: digest, runsWithoutFollowers: runsWithoutFollowers, cancel: cancel, changed: make(chan struct{})}
}

// addFrame appends a frame and wakes the followers. A frame that arrives after the
// job has ended is dropped.
func (j *job) addFrame(f *messenger.Frame, now time.Time) {
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

// framesFrom returns the frames from the given index onwards, whether the job has
// ended, and a channel that is closed when the next frame is added.
func (j *job) framesFrom(index int) ([]*messenger.Frame, bool, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if index > len(j.frames) {
		index = len(j.frames)
	}
	return j.frames[index:len(j.frames):len(j.frames)], j.ended, j.changed
}

// lastFrame returns the final frame, or false if the job has not ended.
func (j *job) lastFrame() (*messenger.Frame, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ended {
		return nil, false
	}
	return j.frames[len(j.frames)-1], true
}

// expired reports whether the job ended longer ago than the retention.
func (j *job) expired(now time.Time, retention time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended && now.Sub(j.endedAt) > retention
}

func (j *job) addFollower() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.followers++
}

// removeFollower removes a follower. When the last follower leaves a running job,
// the job is cancelled unless runsWithoutFollowers is set.
func (j *job) removeFollower() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.followers--
	if j.followers == 0 && !j.runsWithoutFollowers && !j.ended {
		j.cancel()
	}
}

// follow passes the job's frames to emit until the last frame, and skips chunks
// before position from. It returns the error of emit, or a refusal if ctx ends
// first.
func (j *job) follow(ctx context.Context, from int64, emit func(*messenger.Frame) error) error {
	j.addFollower()
	defer j.removeFollower()
	for index := 0; ; {
		frames, ended, changed := j.framesFrom(index)
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
