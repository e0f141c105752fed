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
	// maxForwards bounds how many times a request is sent to a home.
	maxForwards = 4
	// forwardBackoff is the base of the wait between two attempts, which doubles
	// with each attempt.
	forwardBackoff = 50 * time.Millisecond
)

// home returns the host that is home of a route.
func (h *Host) home(route string) (descriptor.Host, error) {
	home, ok := h.members.view().Home(route, h.settings.clock())
	if !ok {
		return descriptor.Host{}, refuser.New(refuser.Home, "no host is home of the call").WithRetry(time.Second)
	}
	return home, nil
}

// homeOf returns the host that runs a program's call. A stopping host stays
// home of the programs that it still holds, until another host asks for them.
func (h *Host) homeOf(route, program string) (descriptor.Host, error) {
	if program != "" && h.leaving.Load() && h.coordinator.Holds(program) {
		return h.settings.self, nil
	}
	return h.home(route)
}

// isSelf reports whether a host is this one.
func (h *Host) isSelf(host descriptor.Host) bool { return host.ID == h.settings.self.ID }

// callHome opens the stream of a call at its home, which may be this host.
func (h *Host) callHome(ctx context.Context, home descriptor.Host, req *messenger.CallRequest) (connector.Frames, error) {
	if h.isSelf(home) {
		return messenger.NewPipe(ctx, func(ctx context.Context, emit func(*messenger.Frame) error) error {
			return h.coordinator.Call(ctx, req, emit)
		}), nil
	}
	h.counters.Reached(counter.StageForwarded)
	return h.settings.peers.Call(ctx, home, req)
}

// dispatch opens the stream of an attempt at an upstream's home, which may be
// this host.
func (h *Host) dispatch(ctx context.Context, home descriptor.Host, req *messenger.DispatchRequest) (connector.Frames, error) {
	if h.isSelf(home) {
		return messenger.NewPipe(ctx, func(ctx context.Context, emit func(*messenger.Frame) error) error {
			return h.dispatcher.Run(ctx, req, emit)
		}), nil
	}
	return h.settings.peers.Dispatch(ctx, home, req)
}

// forwardedStream reads the answer of a call from its home. If the home fails
// before the caller has got any part of the answer, the call is sent to the new
// home.
type forwardedStream struct {
	host  *Host
	ctx   context.Context
	route string
	req   *messenger.CallRequest

	// home is the host that frames are read from.
	home   descriptor.Host
	frames connector.Frames
	// tries counts the failed connections and the refusals of hosts that were no
	// longer the call's home.
	tries int
	// chunkSent is true once Next has returned a part of the answer.
	chunkSent bool
}

// open opens the stream at the call's home. After a failure it tries again,
// until retry returns a refusal.
func (f *forwardedStream) open() error {
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

// retry waits until the next connection attempt may be made, or returns the
// refusal that ends the call. A request that may have reached the home is not
// repeated if it is for a plain service and has no idempotency key: the service
// could run it twice.
func (f *forwardedStream) retry(cause error) error {
	var unsent *connector.UnsentError
	f.tries++
	f.host.suspect(f.home)
	refusal := refuser.New(refuser.Home, "the call's home was lost: %w", cause).WithRetry(time.Second)
	if !errors.As(cause, &unsent) {
		refusal = refusal.WithRun(descriptor.RunUnknown)
		if f.req.GetService() != "" && f.req.GetKey() == "" {
			return refuser.New(refuser.Lost, "the call's home was lost: %w", cause).WithRun(descriptor.RunUnknown)
		}
		// The home may have run this attempt, so the next attempt is not the first.
		f.req.First = false
	}
	switch {
	case f.chunkSent:
		return refuser.New(refuser.Unfinished, "the call's home was lost: %w", cause).WithRun(descriptor.RunUnknown)
	case f.tries == maxForwards || f.ctx.Err() != nil:
		return refusal
	}
	f.host.counters.Retried(counter.RetryHome)
	waiter.Sleep(f.ctx, forwardBackoff<<f.tries)
	return nil
}

// Next returns the next frame of the answer.
func (f *forwardedStream) Next() (*messenger.Frame, error) {
	for {
		frame, err := f.frames.Next()
		if err == nil && !f.homeMoved(frame) {
			f.chunkSent = f.chunkSent || frame.GetChunk() != nil
			return frame, nil
		}
		if err == nil {
			// The host refused the call because it is no longer the call's home.
			f.tries++
			f.host.counters.Retried(counter.RetryHome)
			waiter.Sleep(f.ctx, forwardBackoff<<f.tries)
		} else if refusal := f.retry(err); refusal != nil {
			return nil, refusal
		}
		_ = f.frames.Close()
		if err := f.open(); err != nil {
			return nil, err
		}
	}
}

// homeMoved reports whether the frame refuses the call because another host is
// now its home, and the call may be sent to that host. A call to a plain service
// is sent again only if the refusal reports that the call did not run.
func (f *forwardedStream) homeMoved(frame *messenger.Frame) bool {
	fault := frame.GetFault()
	if fault == nil || f.chunkSent || f.tries >= maxForwards {
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

// Close closes the stream from the home.
func (f *forwardedStream) Close() error { return f.frames.Close() }
