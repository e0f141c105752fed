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

// run is the course of one call.
type run struct {
	coordinator *Coordinator
	job         *job
	req         *messenger.CallRequest
	// program is nil for a plain service's call outside any program.
	program *program
	// previous is the token that the call follows.
	previous *recorder.Token
	print    isolator.Fingerprint
	// won says that the log gave the key to this run: no other attempt was or
	// will be sent, and what it says of itself holds for the key.
	won bool
	// alone says that the call may crash the upstream that runs it.
	alone bool
}

// run takes the call from its checks to its last frame. An error is a refusal.
func (r *run) run(ctx context.Context) error {
	previous, err := r.predecessor()
	if err != nil {
		return err
	}
	r.previous = previous
	end, err := r.coordinator.quotas.begin(r.req.GetOrganisation(), r.quota(), r.coordinator.config.Clock())
	if err != nil {
		return err
	}
	defer end()
	if err := r.admit(ctx); err != nil {
		return err
	}
	if r.program != nil {
		if err := r.program.begin(r.job.call, r.interrupt(), r.coordinator.config.Clock()); err != nil {
			return err
		}
		defer func() { r.program.end(r.job.call, r.coordinator.config.Clock()) }()
	}
	r.coordinator.config.Counters.Reached(counter.StageAdmitted)
	if r.req.GetService() != "" {
		return r.serve(ctx)
	}
	err = r.generate(ctx)
	switch {
	case err == nil:
		return nil
	case r.previous == nil:
		// A program of one call ends with it.
		r.coordinator.drop(r.program.id)
		return err
	case r.program.isOvertaken():
		return r.coordinator.superseded(r.program)
	}
	return err
}

// quota returns the bounds of the call's organisation.
func (r *run) quota() limiter.Quota {
	c := r.coordinator
	l, _ := c.config.Rules().Limit(r.req.GetOrganisation())
	return limiter.Quota{
		Rate: l.Rate, Running: l.Running, Hosts: len(c.config.View().Live(c.config.Clock())),
	}
}

// interrupt returns what ends the call where another host takes the program
// over. A plain service's call is not cut: it may have run.
func (r *run) interrupt() func() {
	if r.req.GetService() != "" {
		return func() {}
	}
	return r.job.cancel
}

// predecessor opens the presented tokens and returns the one to follow; nil
// where none was presented.
func (r *run) predecessor() (*recorder.Token, error) {
	texts := r.req.GetParents()
	if r.req.GetToken() != "" {
		texts = append([]string{r.req.GetToken()}, texts...)
	}
	if len(texts) == 0 {
		return nil, nil
	}
	return r.coordinator.config.Signer.Follow(texts, r.req.GetOrganisation(), r.req.GetProgram())
}

// admit checks the call against its predecessor and finds its program.
func (r *run) admit(ctx context.Context) error {
	if r.previous == nil {
		return r.admitFirst()
	}
	if err := r.checkHistory(); err != nil {
		return err
	}
	if p, ok := r.coordinator.program(r.previous.GetProgram()); ok {
		r.program = p
		return nil
	}
	p, err := r.coordinator.claim(ctx, r.previous)
	r.program = p
	return err
}

// admitFirst opens a program of one call. A plain service's call needs none.
func (r *run) admitFirst() error {
	if r.req.GetProgram() != "" {
		return refuser.New(refuser.Order, "the call names program %s and carries no token of it", r.req.GetProgram())
	}
	if r.req.GetService() != "" {
		return nil
	}
	c := r.coordinator
	if r.req.GetService() == "" && !c.listed(r.req.GetModel()) {
		return unlisted(r.req.GetModel())
	}
	kind, err := c.kind(r.req.GetKind())
	if err != nil {
		return err
	}
	open := &messenger.OpenRequest{Organisation: r.req.GetOrganisation(), Program: "single-" + r.req.GetCall()}
	r.program = c.newProgram(open, kind, c.config.Replica.Status().Next, c.config.Clock())
	return c.put(r.program)
}

func (r *run) checkHistory() error {
	if r.req.GetService() != "" {
		return nil
	}
	history := sequencer.History{Count: r.req.GetMessages()}
	copy(history.Preceding[:], r.req.GetPreceding())
	copy(history.Presented[:], r.req.GetPresented())
	err := sequencer.Check(r.previous, r.req.GetOrganisation(), r.req.GetProgram(), history)
	if err != nil {
		return refuser.New(refuser.History, "%w", err)
	}
	return nil
}

// number returns the call's place in its program, counted from 1.
func (r *run) number() int64 { return r.previous.GetNumber() + 1 }

func (r *run) rank() string {
	if r.program != nil {
		return r.program.kind.Rank.String()
	}
	kind, _ := r.coordinator.config.Rules().Kind(r.req.GetKind())
	return kind.Rank.String()
}

func (r *run) emit(f *messenger.Frame) { r.job.add(f, r.coordinator.config.Clock()) }
