package refuser

import (
	"errors"
	"fmt"
	"time"

	"github.com/citronpier/citronpier/descriptor"
)

// Refusal is the error with which a call is refused or fails.
type Refusal struct {
	Reason Reason
	// Message is the explanation that the caller gets.
	Message string
	// Run states whether the call ran. It is RunNo only if it is certain that no
	// attempt of the call ran or will run.
	Run descriptor.Run
	// Retry is how long the caller should wait before it repeats the call. If it is 0
	// and the reason is not transient, a repeat does not help.
	Retry time.Duration
	// cause is the error that Message wraps with %w, or nil.
	cause error
}

// New returns a refusal with Run set to RunNo. The format and arguments give the
// message, as for fmt.Errorf; an error wrapped with %w becomes the cause.
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

// Unwrap returns the error that caused the refusal, or nil.
func (r *Refusal) Unwrap() error { return r.cause }

// WithRun returns a copy of the refusal with Run set.
func (r *Refusal) WithRun(run descriptor.Run) *Refusal {
	c := *r
	c.Run = run
	return &c
}

// WithRetry returns a copy of the refusal with Retry set.
func (r *Refusal) WithRetry(after time.Duration) *Refusal {
	c := *r
	c.Retry = after
	return &c
}

// From returns the Refusal that err is or wraps. It turns any other error into a refusal
// with the reason Internal, for which it is unknown whether the call ran.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(Internal, "%w", err).WithRun(descriptor.RunUnknown)
}
