package citronpier

import (
	"context"
	"errors"
	"time"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// forwards is the most hosts that a request is sent to.
	forwards = 4
	// forwardPause is the time between two of them.
	forwardPause = 50 * time.Millisecond
)

// home returns the home of a route.
func (h *Host) home(route string) (descriptor.Host, error) {
	home, ok := h.members.view().Home(route, h.settings.clock())
	if !ok {
		return descriptor.Host{}, refuser.New(refuser.Home, "no host is home of the call").WithRetry(time.Second)
	}
	return home, nil
}

// homeOf returns the home of a program's call. A stopping host goes on with the
// programs that no other has asked for yet.
func (h *Host) homeOf(route, program string) (descriptor.Host, error) {
	if program != "" && h.leaving.Load() && h.coordinator.Holds(program) {
		return h.settings.self, nil
	}
	return h.home(route)
}

func (h *Host) isSelf(host descriptor.Host) bool { return host.ID == h.settings.self.ID }

// callHome opens the stream of a call at its home.
func (h *Host) callHome(ctx context.Context, home descriptor.Host, req *messenger.CallRequest) (connector.Frames, error) {
	if h.isSelf(home) {
		return messenger.NewPipe(ctx, func(ctx context.Context, emit func(*messenger.Frame) error) error {
			return h.coordinator.Call(ctx, req, emit)
		}), nil
	}
	h.counters.Reached(counter.StageForwarded)
	return h.settings.peers.Call(ctx, home, req)
}

// dispatch opens the stream of an attempt at an upstream's home.
func (h *Host) dispatch(ctx context.Context, home descriptor.Host, req *messenger.DispatchRequest) (connector.Frames, error) {
	if h.isSelf(home) {
		return messenger.NewPipe(ctx, func(ctx context.Context, emit func(*messenger.Frame) error) error {
			return h.dispatcher.Run(ctx, req, emit)
		}), nil
	}
	return h.settings.peers.Dispatch(ctx, home, req)
}

// forwarded is the stream of a call that moves to the next home when the
// present one fails before the caller has seen any part of the answer.
type forwarded struct {
	host  *Host
	ctx   context.Context
	route string
	req   *messenger.CallRequest

	home   descriptor.Host
	frames connector.Frames
	tries  int
	// seen says that the caller has had a part of the answer.
	seen bool
}

// open connects to the present home.
func (f *forwarded) open() error {
	for {
		home, err := f.host.homeOf(f.route, f.req.GetProgram())
		if err != nil {
			return err
		}
		f.home = home
		f.frames, err = f.host.callHome(f.ctx, home, f.req)
		if err == nil {
			return nil
		}
		if err := f.retry(err); err != nil {
			return err
		}
	}
}

// retry prepares the next connection after a failure, or returns the refusal
// that ends the call.
func (f *forwarded) retry(cause error) error {
	var unsent *connector.UnsentError
	f.tries++
	f.host.suspect(f.home)
	refusal := refuser.New(refuser.Home, "the call's home was lost: %w", cause).WithRetry(time.Second)
	if !errors.As(cause, &unsent) {
		refusal = refusal.WithRun(descriptor.RunUnknown)
		if f.req.GetService() != "" && f.req.GetKey() == "" {
			return refuser.New(refuser.Lost, "the call's home was lost: %w", cause).WithRun(descriptor.RunUnknown)
		}
		f.req.First = false
	}
	switch {
	case f.seen:
		return refuser.New(refuser.Unfinished, "the call's home was lost: %w", cause).WithRun(descriptor.RunUnknown)
	case f.tries == forwards || f.ctx.Err() != nil:
		return refusal
	}
	f.host.counters.Retried(counter.RetryHome)
	waiter.Sleep(f.ctx, forwardPause<<f.tries)
	return nil
}

// Next returns the next frame of the answer.
func (f *forwarded) Next() (*messenger.Frame, error) {
	for {
		frame, err := f.frames.Next()
		if err == nil && !f.moved(frame) {
			f.seen = f.seen || frame.GetChunk() != nil
			return frame, nil
		}
		if err == nil {
			f.tries++
			f.host.counters.Retried(counter.RetryHome)
			waiter.Sleep(f.ctx, forwardPause<<f.tries)
		} else if refusal := f.retry(err); refusal != nil {
			return nil, refusal
		}
		_ = f.frames.Close()
		if err := f.open(); err != nil {
			return nil, err
		}
	}
}

// moved reports whether the frame says that another host is the call's home.
func (f *forwarded) moved(frame *messenger.Frame) bool {
	fault := frame.GetFault()
	if fault == nil || f.seen || f.tries >= forwards {
		return false
	}
	repeatable := fault.GetRun() == string(descriptor.RunNo) || f.req.GetService() == ""
	switch refuser.Reason(fault.GetReason()) {
	case refuser.Leaving, refuser.Superseded, refuser.Home:
		return repeatable
	default:
		return false
	}
}

// Close ends the stream.
func (f *forwarded) Close() error { return f.frames.Close() }
