package messenger

import (
	"context"
	"sync"

	"github.com/citronpier/citronpier/refuser"
)

// pipeFrames is the number of frames that a pipe holds for a slow reader.
const pipeFrames = 16

// Pipe is a stream of frames within one process. It serves the calls whose
// home is the host itself.
type Pipe struct {
	ctx    context.Context
	cancel context.CancelFunc
	frames chan *Frame
	once   sync.Once
}

// NewPipe runs a producer and returns the stream of what it emits. Closing the
// pipe ends the producer's context.
func NewPipe(ctx context.Context, produce func(ctx context.Context, emit func(*Frame) error) error) *Pipe {
	ctx, cancel := context.WithCancel(ctx)
	p := &Pipe{ctx: ctx, cancel: cancel, frames: make(chan *Frame, pipeFrames)}
	go func() {
		defer close(p.frames)
		if err := produce(ctx, p.emit); err != nil {
			_ = p.emit(FaultFrame(refuser.From(err)))
		}
	}()
	return p
}

// emit passes a frame on. While there is room, a frame gets through even after
// the context has ended: the last one tells what became of the call.
func (p *Pipe) emit(f *Frame) error {
	select {
	case p.frames <- f:
		return nil
	default:
	}
	select {
	case p.frames <- f:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// Next returns the next frame.
func (p *Pipe) Next() (*Frame, error) {
	f, ok := <-p.frames
	if !ok {
		return nil, &BrokenError{}
	}
	return f, nil
}

// Close ends the producer.
func (p *Pipe) Close() error {
	p.once.Do(p.cancel)
	return nil
}

// BrokenError says that a stream ended without its last frame.
type BrokenError struct{ Cause error }

// Error describes the failure.
func (e *BrokenError) Error() string {
	if e.Cause == nil {
		return "stream ended early"
	}
	return "stream ended early: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }
