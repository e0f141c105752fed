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

// commands implements server.Commands: it sends each command of a caller to the
// home of the command's route.
type commands Host

// Call opens the stream of a call at its home.
func (c *commands) Call(ctx context.Context, route string, req *messenger.CallRequest) (connector.Frames, error) {
	f := &forwardedStream{host: (*Host)(c), ctx: ctx, route: route, req: req}
	if err := f.open(); err != nil {
		return nil, err
	}
	return f, nil
}

// Open opens a program at its home.
func (c *commands) Open(ctx context.Context, route string, req *messenger.OpenRequest) (*messenger.OpenReply, error) {
	return commandAtHome(ctx, (*Host)(c), route, req, messenger.Commands.Open)
}

// Finish tells a program's home that the program has ended.
func (c *commands) Finish(ctx context.Context, route string, req *messenger.FinishRequest) (*messenger.FinishReply, error) {
	return commandAtHome(ctx, (*Host)(c), route, req, messenger.Commands.Finish)
}

// Cancel cancels a call at its home.
func (c *commands) Cancel(ctx context.Context, route string, req *messenger.CancelRequest) (*messenger.CancelReply, error) {
	return commandAtHome(ctx, (*Host)(c), route, req, messenger.Commands.Cancel)
}

// CountRefused counts a refusal in the metrics and in the daily report to the
// owner of the deployment.
func (c *commands) CountRefused(reason refuser.Reason) {
	c.counters.Refused(reason)
	c.reporter.CountRefused(reason)
}

// commandAtHome runs a command at the home of a route. The commands are
// idempotent. If the home can't be reached, this host suspects it and sends the
// command to the new home. The command is sent at most maxForwards times in
// total.
func commandAtHome[Q, P any](ctx context.Context, h *Host, route string, req Q,
	command func(messenger.Commands, context.Context, Q) (P, error),
) (P, error) {
	var none P
	var last error
	for try := 0; try < maxForwards; try++ {
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
		waiter.Sleep(ctx, forwardBackoff<<try)
	}
	return none, last
}

// reasonKey is the metadata key of a twirp error that holds a refusal's reason.
const reasonKey = "reason"

// toTwirp returns a refusal as a twirp error.
func toTwirp(err error) error {
	r := refuser.From(err)
	return twirp.NewError(twirp.FailedPrecondition, r.Message).WithMeta(reasonKey, string(r.Reason))
}

// fromTwirp returns the refusal that a twirp error carries. Any other error
// means that the home did not answer: the command may or may not have run.
func fromTwirp(err error) error {
	var r *refuser.Refusal
	if errors.As(err, &r) {
		return r
	}
	var t twirp.Error
	if errors.As(err, &t) && t.Meta(reasonKey) != "" {
		return refuser.New(refuser.Reason(t.Meta(reasonKey)), "%s", t.Msg())
	}
	return refuser.New(refuser.Home, "%w", err).WithRun(descriptor.RunUnknown)
}

// peerCommands implements messenger.Commands: it runs the commands that other
// hosts send to this host.
type peerCommands Host

// Open opens a program with this host as its home.
func (c *peerCommands) Open(_ context.Context, req *messenger.OpenRequest) (*messenger.OpenReply, error) {
	reply, err := c.coordinator.Open(req, c.settings.clock())
	if err != nil {
		return nil, toTwirp(err)
	}
	return reply, nil
}

// Finish ends a program that this host is home of. The reply reports whether the
// host knew the program.
func (c *peerCommands) Finish(_ context.Context, req *messenger.FinishRequest) (*messenger.FinishReply, error) {
	known := c.coordinator.Finish(req.GetOrganisation(), req.GetProgram(), c.settings.clock())
	return &messenger.FinishReply{Known: known}, nil
}

// Cancel cancels a call that this host is home of. The reply reports whether the
// call has run at an upstream.
func (c *peerCommands) Cancel(ctx context.Context, req *messenger.CancelRequest) (*messenger.CancelReply, error) {
	run := c.coordinator.Cancel(ctx, req.GetOrganisation(), req.GetCall())
	return &messenger.CancelReply{Run: string(run)}, nil
}

// Adopt takes over the programs that a stopping host hands to this one.
func (c *peerCommands) Adopt(_ context.Context, req *messenger.AdoptRequest) (*messenger.AdoptReply, error) {
	return &messenger.AdoptReply{Adopted: c.coordinator.Adopt(req.GetPrograms(), c.settings.clock())}, nil
}

// Yield hands a program over to the requesting host. The reply has no state if
// this host does not hold the program.
func (c *peerCommands) Yield(ctx context.Context, req *messenger.YieldRequest) (*messenger.YieldReply, error) {
	return &messenger.YieldReply{State: c.coordinator.Yield(ctx, req.GetProgram())}, nil
}

// peerStreams runs the requests of other hosts that are answered by a stream of
// frames.
type peerStreams Host

// Call runs a call that this host is home of.
func (s *peerStreams) Call(ctx context.Context, req *messenger.CallRequest, emit func(*messenger.Frame) error) error {
	return s.coordinator.Call(ctx, req, emit)
}

// Dispatch sends an attempt of a call to an upstream that this host is home of.
func (s *peerStreams) Dispatch(ctx context.Context, req *messenger.DispatchRequest, emit func(*messenger.Frame) error) error {
	return s.dispatcher.Run(ctx, req, emit)
}
