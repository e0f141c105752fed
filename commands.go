package citronpier

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// commands is what the host does for its callers.
type commands Host

// Call runs a call at its home.
func (c *commands) Call(ctx context.Context, route string, req *messenger.CallRequest) (connector.Frames, error) {
	f := &forwarded{host: (*Host)(c), ctx: ctx, route: route, req: req}
	if err := f.open(); err != nil {
		return nil, err
	}
	return f, nil
}

// Open opens a program at its home.
func (c *commands) Open(ctx context.Context, route string, req *messenger.OpenRequest) (*messenger.OpenReply, error) {
	return atHome(ctx, (*Host)(c), route, req, messenger.Commands.Open)
}

// Finish ends a program at its home.
func (c *commands) Finish(ctx context.Context, route string, req *messenger.FinishRequest) (*messenger.FinishReply, error) {
	return atHome(ctx, (*Host)(c), route, req, messenger.Commands.Finish)
}

// Cancel cancels a call at its home.
func (c *commands) Cancel(ctx context.Context, route string, req *messenger.CancelRequest) (*messenger.CancelReply, error) {
	return atHome(ctx, (*Host)(c), route, req, messenger.Commands.Cancel)
}

// Refused counts a refusal.
func (c *commands) Refused(reason refuser.Reason) {
	c.counters.Refused(reason)
	c.reporter.Refused(reason)
}

// atHome runs a command at the home of a route. The commands are idempotent,
// so they are sent to the next home where one fails.
func atHome[Q, P any](ctx context.Context, h *Host, route string, req Q,
	command func(messenger.Commands, context.Context, Q) (P, error),
) (P, error) {
	var none P
	var last error
	for try := 0; try < forwards; try++ {
		home, err := h.home(route)
		if err != nil {
			return none, err
		}
		var target messenger.Commands = (*peerCommands)(h)
		if !h.isSelf(home) {
			target = h.settings.peers.Commands(home)
		}
		reply, err := command(target, ctx, req)
		if err == nil {
			return reply, nil
		}
		last = fromTwirp(err)
		if refuser.From(last).Reason != refuser.Home {
			return none, last
		}
		h.suspect(home)
		waiter.Sleep(ctx, forwardPause<<try)
	}
	return none, last
}

// metaReason is the key under which a refusal's reason crosses twirp.
const metaReason = "reason"

// toTwirp returns a refusal as a twirp error.
func toTwirp(err error) error {
	r := refuser.From(err)
	return twirp.NewError(twirp.FailedPrecondition, r.Message).WithMeta(metaReason, string(r.Reason))
}

// fromTwirp returns a twirp error as a refusal.
func fromTwirp(err error) error {
	var r *refuser.Refusal
	if errors.As(err, &r) {
		return r
	}
	var t twirp.Error
	if errors.As(err, &t) && t.Meta(metaReason) != "" {
		return refuser.New(refuser.Reason(t.Meta(metaReason)), "%s", t.Msg())
	}
	return refuser.New(refuser.Home, "%w", err).WithRun(descriptor.RunUnknown)
}

// peerCommands is what the host does for other hosts.
type peerCommands Host

// Open opens a program here.
func (c *peerCommands) Open(_ context.Context, req *messenger.OpenRequest) (*messenger.OpenReply, error) {
	reply, err := c.coordinator.Open(req, c.settings.clock())
	if err != nil {
		return nil, toTwirp(err)
	}
	return reply, nil
}

// Finish ends a program here.
func (c *peerCommands) Finish(_ context.Context, req *messenger.FinishRequest) (*messenger.FinishReply, error) {
	known := c.coordinator.Finish(req.GetOrganisation(), req.GetProgram(), c.settings.clock())
	return &messenger.FinishReply{Known: known}, nil
}

// Cancel cancels a call here.
func (c *peerCommands) Cancel(ctx context.Context, req *messenger.CancelRequest) (*messenger.CancelReply, error) {
	run := c.coordinator.Cancel(ctx, req.GetOrganisation(), req.GetCall())
	return &messenger.CancelReply{Run: string(run)}, nil
}

// Adopt takes programs over.
func (c *peerCommands) Adopt(_ context.Context, req *messenger.AdoptRequest) (*messenger.AdoptReply, error) {
	return &messenger.AdoptReply{Adopted: c.coordinator.Adopt(req.GetPrograms(), c.settings.clock())}, nil
}

// Yield hands a program over to the host that asks.
func (c *peerCommands) Yield(ctx context.Context, req *messenger.YieldRequest) (*messenger.YieldReply, error) {
	return &messenger.YieldReply{State: c.coordinator.Yield(ctx, req.GetProgram())}, nil
}

// peerStreams runs the streamed requests of other hosts.
type peerStreams Host

// Call runs a call here.
func (s *peerStreams) Call(ctx context.Context, req *messenger.CallRequest, emit func(*messenger.Frame) error) error {
	return s.coordinator.Call(ctx, req, emit)
}

// Dispatch runs an attempt here.
func (s *peerStreams) Dispatch(ctx context.Context, req *messenger.DispatchRequest, emit func(*messenger.Frame) error) error {
	return s.dispatcher.Run(ctx, req, emit)
}
