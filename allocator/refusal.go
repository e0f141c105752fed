package allocator

import (
	"errors"
	"os"
	"time"

	"github.com/citronpier/citronpier/refuser"
)

const (
	// BodyTimeout is how long a caller may take to send a body. It is longer than any caller
	// waits for a response.
	BodyTimeout = 30 * time.Second
	// RefusedBodyTimeout is how long the rest of a refused body is read, so that the connection
	// can be used again.
	RefusedBodyTimeout = time.Second
)

// Refusal returns the refusal of a request whose body Read did not read, with the error of Read.
func Refusal(err error) *refuser.Refusal {
	var shed *ShedError
	var oversize *OversizeError
	switch {
	case errors.As(err, &shed):
		return refuser.New(refuser.Memory, "%w", err).WithRetry(RetryShed())
	case errors.As(err, &oversize):
		return refuser.New(refuser.Oversize, "%w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuser.New(refuser.Slow, "the body did not come within %s", BodyTimeout)
	default:
		return refuser.New(refuser.Malformed, "the body could not be read: %w", err)
	}
}
