package forwarder

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/keeper"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// retryHome is when to ask again while the home of a program is not
	// reached: a take-over has ended by then.
	retryHome = 300 * time.Millisecond
	// retryStore is when to ask again while the store is away.
	retryStore = time.Second
	// settleBudget bounds the settling of a turn that has ended.
	settleBudget = 5 * time.Second
)

// turn is the part of a request that belongs to a program's history and budget.
type turn struct {
	kind descriptor.Stream
	// input is what the caller sent.
	input []byte
	// held says that a home holds budget for the turn.
	held bool
	// output is the data of each event, each followed by a line feed.
	output []byte
}

// begin reserves budget for a turn and joins its chain. It returns the outcome
// where the turn must not run.
func (e *exchange) begin(ctx context.Context, t *turn) Outcome {
	if e.request.Program == "" && !t.kind.Retain {
		return nil
	}
	chain, cached := e.chains.Get(e.request.Previous)
	retain := t.kind.Retain && e.request.Previous != ""
	r := &messenger.BeginRequest{
		Shard:     int32(keeper.Shard(e.program(), e.config.Shards)),
		Program:   e.program(),
		Session:   e.request.Session,
		Turn:      e.request.ID,
		Budget:    e.request.Budget,
		Most:      e.request.Most,
		Cached:    cached,
		Retain:    t.kind.Retain,
		Left:      e.left(time.Now()).Milliseconds(),
		Retention: t.kind.Retention.Milliseconds(),
	}
	if retain {
		r.Previous = e.request.Previous
	}
	began := time.Now()
	reply, err := e.config.Homes.Begin(ctx, r)
	e.config.Counters.Measured(counter.MeasureBegin, time.Since(began))
	if err != nil {
		if o := e.ended(ctx); o != nil {
			return o
		}
		return refuse(refuser.New(refuser.Home, "the program's home is not reached: %w", err).WithRetry(retryHome))
	}
	if o := refusedBegin(reply, e.request); o != nil {
		return o
	}
	t.held = true
	e.held = reply.GetUpstream()
	e.config.Counters.Reached(counter.StageGranted)
	if !retain {
		return nil
	}
	if !cached {
		chain = reply.GetChain()
		e.remember(e.request.Previous, chain)
	}
	body := make([]byte, 0, len(chain)+len(t.input))
	e.request = e.request.WithBody(append(append(body, chain...), t.input...))
	return nil
}

// program returns what a turn's home is found by. A turn that names no program is
// one of its own; others that continue it find it in its shard.
func (e *exchange) program() string {
	if e.request.Program == "" {
		return e.request.ID
	}
	return e.request.Program
}

// refusedBegin returns the outcome of a turn that its home refused.
func refusedBegin(reply *messenger.BeginReply, r descriptor.Request) Outcome {
	switch reply.GetVerdict() {
	case messenger.BeginReply_RESERVED:
		return nil
	case messenger.BeginReply_EXCEEDED:
		return refuse(refuser.New(refuser.Budget, "the budget of %d tokens does not cover a turn of %d", r.Budget, r.Most))
	case messenger.BeginReply_MISSING:
		return refuse(refuser.New(refuser.Turn, "no turn %q is kept", r.Previous))
	default:
		return refuse(refuser.New(refuser.Log, "the program's home can't use its records: %s", reply.GetDetail()).
			WithRetry(retryStore))
	}
}

// end returns the message that settles a turn.
func (e *exchange) endRequest(t *turn) *messenger.EndRequest {
	return &messenger.EndRequest{
		Shard:     int32(keeper.Shard(e.program(), e.config.Shards)),
		Program:   e.program(),
		Session:   e.request.Session,
		Turn:      e.request.ID,
		Generated: e.generated,
		Upstream:  e.upstream.ID,
	}
}

// settle ends a turn that is not recorded, in the background.
func (e *exchange) settle(t *turn) {
	if !t.held {
		return
	}
	r := e.endRequest(t)
	go func() {
		ctx, cancel := context.WithTimeout(e.config.Background, settleBudget)
		defer cancel()
		if _, err := e.config.Homes.End(ctx, r); err != nil {
			e.config.Logger.Info().Err(err).Str("id", r.GetTurn()).Str("program", r.GetProgram()).Msg("turn not settled")
		}
	}()
}

// record ends a turn that was answered whole and returns once it is in the
// store.
func (e *exchange) record(ctx context.Context, t *turn) error {
	r := e.endRequest(t)
	r.Retain = true
	r.Previous = e.request.Previous
	r.Input = t.input
	r.Output = t.output
	r.Retention = t.kind.Retention.Milliseconds()
	reply, err := e.config.Homes.End(ctx, r)
	if err == nil && reply.GetAway() {
		err = e.recordAside(ctx, t, r)
	}
	if err != nil {
		return err
	}
	body := e.request.Body
	chain := make([]byte, 0, len(body)+len(t.output))
	e.remember(e.request.ID, append(append(chain, body...), t.output...))
	return nil
}

// recordAside records a turn in another shard while the partition of its own is
// away. Each host finds it there: a turn may continue one of any shard.
func (e *exchange) recordAside(ctx context.Context, t *turn, own *messenger.EndRequest) error {
	chain := e.request.Body[:len(e.request.Body)-len(t.input)]
	for _, shard := range keeper.AsideShards(int(own.GetShard()), e.config.Shards) {
		r := proto.CloneOf(own)
		r.Shard, r.Aside, r.Chain = int32(shard), true, chain
		reply, err := e.config.Homes.End(ctx, r)
		e.config.Logger.Info().Err(err).Str("id", e.request.ID).Str("program", r.GetProgram()).Int32("own", own.GetShard()).
			Int("shard", shard).Bool("recorded", reply.GetRecorded()).Msg("turn recorded aside")
		if err == nil && reply.GetRecorded() {
			e.config.Counters.Retried(counter.RetryAside)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	own.Patient = true
	_, err := e.config.Homes.End(ctx, own)
	return err
}
