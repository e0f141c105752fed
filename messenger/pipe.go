package messenger

import (
	"context"
	"sync"

	"github.com/citronpier/citronpier/refuser"
)

// pipeCapacity is the number of frames that a pipe buffers for a slow reader.
const pipeCapacity = 16

// Pipe is a stream of frames within one process. It replaces a Stream when a host runs
// a call itself.
type Pipe struct {
	ctx    context.Context
	cancel context.CancelFunc
	frames chan *Frame
	once   sync.Once
}

// NewPipe starts produce and returns the stream of the frames that it emits. If produce
// returns an error, a fault frame for the error ends the stream. Close cancels the
// context of produce.
func NewPipe(ctx context.Context, produce func(ctx context.Context, emit func(*Frame) error) error) *Pipe {
	ctx, cancel := context.WithCancel(ctx)
	p := &Pipe{ctx: ctx, cancel: cancel, frames: make(chan *Frame, pipeCapacity)}
	go func() {
		defer close(p.frames)
		if err := produce(ctx, p.emit); err != nil {
			_ = p.emit(FaultFrame(refuser.From(err)))
		}
	}()
	return p
}

// emit adds a frame to the buffer and blocks while the buffer is full. While there is
// room, emit adds the frame even if the context has ended, because the last frame
// contains the outcome of the call.
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

// Next blocks until the next frame arrives. It returns an *InterruptedError after the last
// frame.
func (p *Pipe) Next() (*Frame, error) {
	f, ok := <-p.frames
	if !ok {
		return nil, &InterruptedError{}
	}
	return f, nil
}

// Close cancels the producer's context.
func (p *Pipe) Close() error {
	p.once.Do(p.cancel)
	return nil
}

// InterruptedError reports that a stream ended or could not be written before its last
// frame. Cause is nil if the producer of a Pipe emitted no last frame.
type InterruptedError struct{ Cause error }

// Error states the cause, if there is one.
func (e *InterruptedError) Error() string {
	if e.Cause == nil {
		return "stream ended before its last frame"
	}
	return "stream ended before its last frame: " + e.Cause.Error()
}

// Unwrap returns the error that ended the stream, or nil.
func (e *InterruptedError) Unwrap() error { return e.Cause }
