package prover_test

import (
	"context"
	"strings"
	"time"

	"github.com/citronpier/citronpier/caller"
	"github.com/citronpier/citronpier/publisher"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/standin"
)

// column is a step at which a fault is injected. Its hooks inject the fault or
// arrange for the fault to be injected later. The program under test is the
// program during which the fault is injected; other programs run at the same
// time.
type column struct {
	name string
	// before is called before the program under test is opened. It may be nil.
	before func(fx *fixture, fault func(*fixture))
	// between is called after the first model call of the program under test.
	// It may be nil.
	between func(ctx context.Context, fx *fixture, p *caller.Program, fault func(*fixture))
}

// stateStream is the log stream with the records of budgets and idempotency
// keys.
const stateStream = "state"

func isClaim(fx *fixture, r *recorder.Record) bool {
	return r.GetClaim().GetProgram() == fx.programUnderTestID()
}

func isGrant(fx *fixture, r *recorder.Record) bool {
	return r.GetGrant().GetProgram() == fx.programUnderTestID()
}

func isIntent(_ *fixture, r *recorder.Record) bool {
	return strings.HasSuffix(r.GetIntent().GetKey(), serviceCallKey)
}

func isOutcome(_ *fixture, r *recorder.Record) bool {
	return strings.HasSuffix(r.GetOutcome().GetKey(), serviceCallKey)
}

func isRules(_ *fixture, r *recorder.Record) bool { return r.GetRules() != nil }

// atRecord returns a hook that arranges for the fault to be injected just
// before the log appends a matching record.
func atRecord(match func(*fixture, *recorder.Record) bool) func(*fixture, func(*fixture)) {
	return func(fx *fixture, fault func(*fixture)) { fx.onRecord(stateStream, standin.StepAppend, match, fault) }
}

// atEngine returns a hook that arranges for the fault to be injected when a
// call of the program under test reaches a step at an engine.
func atEngine(step standin.Step) func(*fixture, func(*fixture)) {
	return func(fx *fixture, fault func(*fixture)) { fx.onEngine(step, fault) }
}

// columns are the steps at which faults are injected:
//
//   - open: the program under test is about to be opened.
//   - order: the first model call of the program under test was answered.
//   - claim, grant, intent, outcome: the log is about to append the record of
//     that name.
//   - queue: a model call waits while all slots of the engines are occupied.
//   - dispatch, first token, mid-stream: an engine received the call, generated
//     the first token, or is in the middle of its answer.
//   - settle: the engine has generated the last token, and the home has not yet
//     settled the cost.
//   - answer: the service has executed the call and has not yet responded.
//   - publish, apply: the log is about to append new rules, or has appended
//     them.
//   - drain: the program's home is stopping gracefully.
//   - leave: an engine is listed as leaving.
var columns = []column{
	{name: "open", before: func(fx *fixture, fault func(*fixture)) { fx.inject(fault) }},
	{name: "order", between: func(_ context.Context, fx *fixture, _ *caller.Program, fault func(*fixture)) { fx.inject(fault) }},
	{name: "claim", before: atRecord(isClaim), between: killHome},
	{name: "grant", before: atRecord(isGrant)},
	{name: "intent", before: atRecord(isIntent)},
	{name: "queue", between: fillQueues},
	{name: "dispatch", before: atEngine(standin.StepReceived)},
	{name: "first token", before: atEngine(standin.StepFirstToken)},
	{name: "mid-stream", before: atEngine(standin.StepMidStream)},
	{name: "settle", before: atEngine(standin.StepGenerated)},
	{name: "outcome", before: atRecord(isOutcome)},
	{name: "answer", before: func(fx *fixture, fault func(*fixture)) { fx.onService(standin.StepRan, fault) }},
	{name: "publish", between: publishAt(standin.StepAppend)},
	{name: "apply", between: publishAt(standin.StepAppended)},
	{name: "drain", between: drainHome},
	{name: "leave", between: leaveUpstream},
}

// killHome kills the program's home: the host that owns the program by
// rendezvous hashing. The host with the next rank claims the program at the next
// call of the program, and killHome makes that host the target of the fault.
func killHome(ctx context.Context, fx *fixture, p *caller.Program, _ func(*fixture)) {
	first := fx.target()
	fx.setTarget(ctx, p.ID, 1)
	first.Kill()
}

// fillQueues occupies all slots of the engines, and injects the fault while the
// next call of the program under test is queued.
func fillQueues(ctx context.Context, fx *fixture, _ *caller.Program, fault func(*fixture)) {
	for range 8 {
		fx.pending.Go(func() {
			p, err := fx.client.Open(ctx, "dealer", 0)
			if err == nil {
				fx.callModel(ctx, p, "fills a slot", false)
			}
		})
	}
	fx.after(60*time.Millisecond, func() { fx.inject(fault) })
	time.Sleep(40 * time.Millisecond)
}

// publishAt returns a hook that publishes rules and arranges for the fault to
// be injected when the log's append of the rules reaches a step.
func publishAt(step standin.Step) func(context.Context, *fixture, *caller.Program, func(*fixture)) {
	return func(ctx context.Context, fx *fixture, _ *caller.Program, fault func(*fixture)) {
		fx.onRecord(publisher.Stream, step, isRules, fault)
		fx.pending.Go(func() { fx.publish(ctx, "meera") })
	}
}

// drainHome stops the program's home gracefully, and injects the fault at the
// host that takes the program over.
func drainHome(ctx context.Context, fx *fixture, p *caller.Program, fault func(*fixture)) {
	first := fx.target()
	fx.setTarget(ctx, p.ID, 1)
	fx.pending.Go(func() { _ = first.Stop() })
	fx.after(50*time.Millisecond, func() { fx.inject(fault) })
}

// leaveUpstream marks an engine as leaving in the service-discovery list and injects
// the fault.
func leaveUpstream(_ context.Context, fx *fixture, _ *caller.Program, fault func(*fixture)) {
	e := fx.fleet.Engines[0]
	now := time.Now()
	fx.fleet.List.SetUpstream(e.Upstream.WithLeaving(true), now)
	fx.mu.Lock()
	fx.departures = append(fx.departures, departure{engine: e, at: now})
	fx.mu.Unlock()
	fx.inject(fault)
}
