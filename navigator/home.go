package navigator

import (
	"context"

	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// Begin calls Begin at the home of the request's shard: the home reserves budget for
// a turn and returns the text of the earlier turns that the turn continues (its
// chain). Begin sets r.Force. The error is a *NoHomeError.
func (n *Navigator) Begin(ctx context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error) {
	return callHome(ctx, n, r.GetShard(), beginTimeout,
		func(ctx context.Context, h Home, force bool) (*messenger.BeginReply, bool, error) {
			r.Force = force
			reply, err := h.Begin(ctx, r)
			return reply, reply.GetVerdict() == messenger.BeginReply_ELSEWHERE, err
		})
}

// Bind calls Bind at the home of the request's shard, which keeps the build that began the
// stream of an attempt. Bind sets r.Force. The error is a *NoHomeError or a *NotKeptError.
func (n *Navigator) Bind(ctx context.Context, r *messenger.BindRequest) (*messenger.BindReply, error) {
	return callHome(ctx, n, r.GetShard(), settleTimeout,
		func(ctx context.Context, h Home, force bool) (*messenger.BindReply, bool, error) {
			r.Force = force
			reply, err := h.Bind(ctx, r)
			if isMissingMethod(err) {
				err = &answerError{Answer: &NotKeptError{Shard: r.GetShard(), Cause: err}}
			}
			return reply, reply.GetElsewhere(), err
		})
}

// End calls End at the home of the request's shard, which settles a turn. If the
// turn is retained, the home replies once the turn is recorded in the store or
// the shard's partition turns out to be unavailable. End sets r.Force. The error
// is a *NoHomeError, or a *keeper.UnrecordableError if no home can record the turn.
func (n *Navigator) End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error) {
	timeout := settleTimeout
	if r.GetRetain() {
		// Recording the turn in the store may take until the deadline of ctx.
		timeout = 0
	}
	return callHome(ctx, n, r.GetShard(), timeout,
		func(ctx context.Context, h Home, force bool) (*messenger.EndReply, bool, error) {
			r.Force = force
			reply, err := h.End(ctx, r)
			if hasCode(err, UnrecordableCode) {
				err = &answerError{Answer: &keeper.UnrecordableError{Cause: err}}
			}
			return reply, reply.GetElsewhere(), err
		})
}
