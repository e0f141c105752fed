package coordinator

import (
	"context"

	"github.com/citronpier/citronpier/counter"
	"github.com/citronpier/citronpier/isolator"
	"github.com/citronpier/citronpier/limiter"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/sequencer"
)

// run holds the state of one execution of a call.
type run struct {
	coordinator *Coordinator
	job         *job
	req         *messenger.CallRequest
	// program is nil for a call of a plain service outside any program.
	program *program
	// previous is the token of the call that this call follows. It is nil if the
	// caller presented no token.
	previous    *recorder.Token
	fingerprint isolator.Fingerprint
	// ownsKey is true if this run's intent is the first intent for the key in the
	// log. No other run then sends the call, so the call with this key has run only
	// if this run sent it.
	ownsKey bool
	// suspect is true if the same request crashed an upstream before. The
	// upstream then runs it apart from other suspect requests.
	suspect bool
}

// run checks the call, executes it and emits its last frame. It returns a refusal
// if the call fails; the caller of run then emits the last frame.
func (r *run) run(ctx context.Context) error {
	previous, err := r.predecessor()
	if err != nil {
		return err
	}
	r.previous = previous
	end, err := r.coordinator.quotas.beginCall(r.req.GetOrganisation(), r.organisationQuota(), r.coordinator.config.Clock())
	if err != nil {
		return err
	}
	defer end()
	if err := r.admit(ctx); err != nil {
		return err
	}
	if r.program != nil {
		if err := r.program.begin(r.job.callID, r.takeoverCancel(), r.coordinator.config.Clock()); err != nil {
			return err
		}
		defer func() { r.program.end(r.job.callID, r.coordinator.config.Clock()) }()
	}
	r.coordinator.config.Counters.Reached(counter.StageAdmitted)
	if r.req.GetService() != "" {
		return r.runService(ctx)
	}
	err = r.generate(ctx)
	switch {
	case err == nil:
		return nil
	case r.previous == nil:
		// A call without a token has a program of its own, which ends with the
		// call.
		r.coordinator.dropProgram(r.program.id)
		return err
	case r.program.isSuperseded():
		return r.coordinator.dropSuperseded(r.program)
	}
	return err
}

// organisationQuota returns the limits for the calls of the caller's organisation,
// and the number of live hosts that share these limits.
func (r *run) organisationQuota() limiter.Quota {
	c := r.coordinator
	l, _ := c.config.Rules().Limit(r.req.GetOrganisation())
	return limiter.Quota{
		Rate: l.Rate, MaxRunning: l.Running, Hosts: len(c.config.View().Live(c.config.Clock())),
	}
}

// takeoverCancel returns a function that cancels the call when another host takes
// over its program. For a call of a plain service, the returned function does
// nothing: such a call may already have run.
func (r *run) takeoverCancel() func() {
	if r.req.GetService() != "" {
		return func() {}
	}
	return r.job.cancel
}

// predecessor verifies the tokens that the caller presented and returns the token
// that the call follows, or nil if the caller presented no token.
func (r *run) predecessor() (*recorder.Token, error) {
	tokens := r.req.GetParents()
	if r.req.GetToken() != "" {
		tokens = append([]string{r.req.GetToken()}, tokens...)
	}
	if len(tokens) == 0 {
		return nil, nil
	}
	return r.coordinator.config.Signer.Follow(tokens, r.req.GetOrganisation(), r.req.GetProgram())
}

// admit checks that the call extends its program's history and sets r.program. If
// this host does not hold the program yet, admit claims the program.
func (r *run) admit(ctx context.Context) error {
	if r.previous == nil {
		return r.admitFirst()
	}
	if err := r.checkHistory(); err != nil {
		return err
	}
	if p, ok := r.coordinator.lookupProgram(r.previous.GetProgram()); ok {
		r.program = p
		return nil
	}
	p, err := r.coordinator.claimProgram(ctx, r.previous)
	r.program = p
	return err
}

// admitFirst opens a program for a single call that follows no token. A call of a
// plain service needs no program.
func (r *run) admitFirst() error {
	if r.req.GetProgram() != "" {
		return refuser.New(refuser.Order, "the call names program %s and carries no token of it", r.req.GetProgram())
	}
	if r.req.GetService() != "" {
		return nil
	}
	c := r.coordinator
	if r.req.GetService() == "" && !c.modelListed(r.req.GetModel()) {
		return unlistedModelRefusal(r.req.GetModel())
	}
	kind, err := c.lookupKind(r.req.GetKind())
	if err != nil {
		return err
	}
	open := &messenger.OpenRequest{Organisation: r.req.GetOrganisation(), Program: "single-" + r.req.GetCall()}
	r.program = c.newProgram(open, kind, c.config.Replica.Status().Next, c.config.Clock())
	return c.addProgram(r.program)
}

// checkHistory refuses a model call whose messages do not extend the history that
// its token covers.
func (r *run) checkHistory() error {
	if r.req.GetService() != "" {
		return nil
	}
	history := sequencer.History{Count: r.req.GetMessages()}
	copy(history.CoveredDigest[:], r.req.GetPreceding())
	copy(history.FullDigest[:], r.req.GetPresented())
	err := sequencer.Check(r.previous, r.req.GetOrganisation(), r.req.GetProgram(), history)
	if err != nil {
		return refuser.New(refuser.History, "%w", err)
	}
	return nil
}

// callNumber returns the call's position in its program, counted from 1.
func (r *run) callNumber() int64 { return r.previous.GetNumber() + 1 }

// rankName returns the name of the scheduling rank of the call's program kind.
func (r *run) rankName() string {
	if r.program != nil {
		return r.program.kind.Rank.String()
	}
	kind, _ := r.coordinator.config.Rules().Kind(r.req.GetKind())
	return kind.Rank.String()
}

func (r *run) emit(f *messenger.Frame) { r.job.addFrame(f, r.coordinator.config.Clock()) }
