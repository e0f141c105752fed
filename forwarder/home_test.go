package forwarder_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
)

// fakeHome is a fake HomeClient that answers for the home of every program. It
// records the calls of End.
type fakeHome struct {
	mu sync.Mutex
	// verdict and chain are the reply of Begin.
	verdict messenger.BeginReply_Verdict
	chain   string
	// programUpstream is the upstream that served the last turn of the program.
	programUpstream string
	// build is the build in the reply of Begin to a request that resumes a stream.
	build *messenger.Build
	// bound receives the requests of the calls of Bind.
	bound chan *messenger.BindRequest
	// ended has the requests of the calls of End, in order, and endErr is the error
	// that End returns.
	ended  []*messenger.EndRequest
	endErr error
	// unrecordable is true if no home can record a turn.
	unrecordable bool
	// recordTime is how long the home takes to record a turn.
	recordTime time.Duration
	// recorded has the shard of each call of End that was answered with a record.
	recorded []int32
	// settled, unless nil, is closed at the first call of End.
	settled chan struct{}
	// unavailable has the shards whose partitions are unavailable.
	unavailable map[int32]bool
	// failed has the shards whose homes fail each call of End.
	failed map[int32]bool
	// unread is the number of requests of the kind that waits for the partition that
	// are answered as unavailable all the same: a host has become home of the shard and
	// has not read it yet.
	unread int
	// waits is true if requests of that kind wait until their context ends.
	waits bool
	// chainless is true if the shards lack the chain of the previous turn.
	chainless bool
}

func (h *fakeHome) Begin(_ context.Context, r *messenger.BeginRequest) (*messenger.BeginReply, error) {
	reply := &messenger.BeginReply{Verdict: h.verdict, Chain: []byte(h.chain), ProgramUpstream: h.programUpstream}
	if r.GetResumes() != "" {
		reply.Build = h.build
	}
	return reply, nil
}

func (h *fakeHome) Bind(_ context.Context, r *messenger.BindRequest) (*messenger.BindReply, error) {
	h.bound <- proto.CloneOf(r)
	return &messenger.BindReply{}, nil
}

func (h *fakeHome) End(ctx context.Context, r *messenger.EndRequest) (*messenger.EndReply, error) {
	if h.waits && r.GetPatient() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if r.GetRetain() {
		waiter.Sleep(ctx, h.recordTime)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = append(h.ended, proto.CloneOf(r))
	if h.settled != nil {
		close(h.settled)
		h.settled = nil
	}
	if h.failed[r.GetShard()] {
		return nil, io.ErrUnexpectedEOF
	}
	if r.GetPatient() && h.unread > 0 {
		h.unread--
		return &messenger.EndReply{Away: true}, nil
	}
	if h.unavailable[r.GetShard()] && !r.GetPatient() {
		return &messenger.EndReply{Away: true}, h.endErr
	}
	if h.unrecordable && r.GetRetain() {
		return nil, &keeper.UnrecordableError{Cause: io.ErrShortBuffer}
	}
	if h.chainless && r.GetCached() && r.Chain == nil {
		return &messenger.EndReply{NeedsChain: true}, h.endErr
	}
	if r.GetRetain() && h.endErr == nil {
		h.recorded = append(h.recorded, r.GetShard())
	}
	return &messenger.EndReply{Recorded: r.GetRetain()}, h.endErr
}

// setEndErr sets the error that End returns from now on.
func (h *fakeHome) setEndErr(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endErr = err
}

// records returns the shards that have recorded the turn, in order: a shard is named for each
// call of End that it answered with success.
func (h *fakeHome) records() []int32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recorded
}

// requests returns the requests of the calls of End so far, in order.
func (h *fakeHome) requests() []*messenger.EndRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.ended)
}
