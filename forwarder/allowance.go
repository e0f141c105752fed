package forwarder

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/granter"
	"github.com/citronpier/citronpier/internal/waiter"
	"github.com/citronpier/citronpier/refuser"
)

// Allowances grants the credits that requests of organisations with a limit need.
type Allowances interface {
	// Take spends a credit for a request, or says why there is none.
	Take(ctx context.Context, r AllowanceRequest, now time.Time) AllowanceDecision
	// Return gives back a credit whose request was not sent.
	Return(organisation string, c granter.Credit)
	// Expired reports whether a request that has spent a credit must not be sent any more.
	Expired(c granter.Credit) bool
}

// AllowanceRequest is a request that needs a credit.
type AllowanceRequest struct {
	Organisation descriptor.Organisation
	Kind         granter.Kind
}

// AllowanceDecision is the answer of Allowances: AllowanceTaken, AllowanceExceeded or
// AllowanceUnknown.
type AllowanceDecision interface{ allowanceDecision() }

// AllowanceTaken means that the request may be sent.
type AllowanceTaken struct{ Credit granter.Credit }

// AllowanceExceeded means that the organisation is over its limit. Credit is expected after
// Retry. Age is how long ago the home of the organisation said so.
type AllowanceExceeded struct{ Retry, Age time.Duration }

// AllowanceUnknown means that no home of the organisation could be asked.
type AllowanceUnknown struct{ Cause error }

func (AllowanceTaken) allowanceDecision()    {}
func (AllowanceExceeded) allowanceDecision() {}
func (AllowanceUnknown) allowanceDecision()  {}

const (
	// maxKnownPrograms bounds the programs that a host remembers as begun, about 2 MB.
	maxKnownPrograms = 8192
	// minRetrySpread is the least time over which retries of callers are spread.
	minRetrySpread = 500 * time.Millisecond
	// deniedLines is the number of log lines a second for requests that are refused because
	// of their key or their organisation's limit.
	deniedLines = 20
)

// knownProgram names a program that this host has let begin.
type knownProgram struct{ organisation, program string }

// newKnownPrograms returns an empty set of programs.
func newKnownPrograms() *lru.Cache[knownProgram, struct{}] {
	programs, err := lru.New[knownProgram, struct{}](maxKnownPrograms)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return programs
}

// newDeniedLogger returns the logger for refused keys and exceeded limits.
func newDeniedLogger(l zerolog.Logger) zerolog.Logger {
	return l.Sample(&zerolog.BurstSampler{Burst: deniedLines, Period: time.Second})
}

// outcomeLogger returns the logger for the outcome of a request.
func (f *Forwarder) outcomeLogger(outcome Outcome) *zerolog.Logger {
	if o, ok := outcome.(Refused); ok && (o.Refusal.Reason == refuser.Key || o.Refusal.Reason == refuser.Rate) {
		return &f.denied
	}
	return &f.config.Logger
}

// withDenial adds to a log event what a refused key or an exceeded limit was decided from.
func (e *exchange) withDenial(event *zerolog.Event, reason refuser.Reason) *zerolog.Event {
	if e.authenticated && (reason == refuser.Key || reason == refuser.Rate || reason == refuser.Stale) {
		event = event.Dur("config_age_ms", e.config.configurationAge())
	}
	if e.allowance.state != "" {
		event = event.Str("allowance", e.allowance.state).Dur("allowance_age_ms", e.allowance.age)
	}
	return event
}

// spentAllowance is the credit that a request has spent.
type spentAllowance struct {
	taken  bool
	credit granter.Credit
	// state describes why there was no credit, and age is how long ago that was known.
	state string
	age   time.Duration
}

// takeAllowance spends a credit of the organisation. A request of a running program waits for
// credit that is expected soon: refused calls end programs that are nearly done. takeAllowance
// returns the outcome of a request that gets none, and nil otherwise.
func (e *exchange) takeAllowance(ctx context.Context, now time.Time) Outcome {
	if e.organisation.PerSecond <= 0 || e.config.Allowances == nil {
		return nil
	}
	program := knownProgram{organisation: e.organisation.Name, program: e.request.Program}
	r := AllowanceRequest{Organisation: e.organisation, Kind: e.allowanceKind(program)}
	latest := now.Add(e.maxDelay(now))
	decision := e.config.Allowances.Take(ctx, r, now)
	for {
		exceeded, ok := decision.(AllowanceExceeded)
		if !ok || r.Kind != granter.Continuing || now.Add(exceeded.Retry).After(latest) {
			return e.allowanceOutcome(ctx, decision, program)
		}
		waiter.Sleep(ctx, exceeded.Retry)
		now = time.Now()
		if o := e.unsendable(ctx, now); o != nil {
			return o
		}
		decision = e.config.Allowances.Take(ctx, r, now)
	}
}

// allowanceOutcome keeps the credit of a request, or returns the outcome of one that gets none.
func (e *exchange) allowanceOutcome(ctx context.Context, decision AllowanceDecision, program knownProgram) Outcome {
	switch d := decision.(type) {
	case AllowanceTaken:
		e.allowance = spentAllowance{taken: true, credit: d.Credit}
		if program.program != "" {
			e.known.Add(program, struct{}{})
		}
		return nil
	case AllowanceExceeded:
		e.allowance.state, e.allowance.age = "exceeded", d.Age
		return refused(refuser.New(refuser.Rate, "organisation %q is over its limit of %g requests a second with a burst of %g",
			e.organisation.Name, e.organisation.PerSecond, e.organisation.Burst).WithRetry(e.spreadRetry(d.Retry)))
	case AllowanceUnknown:
		e.allowance.state = "home not reached"
		if o := e.contextOutcome(ctx); o != nil {
			return o
		}
		return refused(refuser.New(refuser.Home, "the home of organisation %q is not reached: %w", e.organisation.Name, d.Cause).
			WithRetry(retryAfterHomeFailure))
	default:
		return nil
	}
}

// allowanceExpired returns the outcome of a request whose credit has expired before it was sent,
// because the host was paused, and nil otherwise.
func (e *exchange) allowanceExpired() Outcome {
	if !e.allowance.taken || e.mayHaveRun || !e.config.Allowances.Expired(e.allowance.credit) {
		return nil
	}
	return refused(refuser.New(refuser.Home, "the credit of organisation %q expired before the request was sent", e.organisation.Name).
		WithRetry(retryAfterHomeFailure))
}

// returnAllowance gives the credit of a request back that was not sent.
func (e *exchange) returnAllowance() {
	if e.allowance.taken && e.sends == 0 {
		e.config.Allowances.Return(e.organisation.Name, e.allowance.credit)
	}
}

// allowanceKind returns what the request is to its program. A call never begins a program, and a
// stream does if it continues no turn, this host has not seen its program, and the program's home
// knows no earlier turn.
func (e *exchange) allowanceKind(program knownProgram) granter.Kind {
	_, stream := e.route.Kind.(descriptor.Stream)
	switch {
	case e.resumesStream():
		return granter.Continuing
	case program.program == "":
		return granter.Single
	case stream && e.request.Previous == "" && e.programUpstream == "" && !e.known.Contains(program):
		return granter.Beginning
	default:
		return granter.Continuing
	}
}

// spreadRetry returns the time after which the caller should retry. Requests that are refused
// at once come back at different times.
func (e *exchange) spreadRetry(expected time.Duration) time.Duration {
	fraction := float64(xxhash.Sum64String("retry/"+e.request.ID)>>11) / (1 << 53)
	return expected + time.Duration(fraction*float64(max(expected, minRetrySpread)))
}
