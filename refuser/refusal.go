package refuser

import (
	"errors"
	"fmt"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// Refusal is the typed failure of a call.
type Refusal struct {
	Reason  Reason
	Message string
	// Run is RunNo only with proof that no attempt of the call ran or will run.
	Run descriptor.Run
	// Retry is how long the caller should wait before it asks again; 0 says
	// that asking again does not help.
	Retry time.Duration
	cause error
}

// New returns a refusal of a call that was not run.
func New(reason Reason, format string, args ...any) *Refusal {
	err := fmt.Errorf(format, args...)
	return &Refusal{
		Reason:  reason,
		Message: err.Error(),
		Run:     descriptor.RunNo,
		cause:   errors.Unwrap(err),
	}
}

// Error returns the reason and the message.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// Unwrap returns the error that caused the refusal, if any.
func (r *Refusal) Unwrap() error { return r.cause }

// WithRun returns a copy that states whether the call ran.
func (r *Refusal) WithRun(run descriptor.Run) *Refusal {
	c := *r
	c.Run = run
	return &c
}

// WithRetry returns a copy that states when to ask again.
func (r *Refusal) WithRetry(after time.Duration) *Refusal {
	c := *r
	c.Retry = after
	return &c
}

// From returns err as a refusal. An error of another type becomes Internal.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(Internal, "%w", err).WithRun(descriptor.RunUnknown)
}
