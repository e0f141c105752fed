package server

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/refuser"
)

const (
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// refusedBodyTimeout is how long the rest of a refused body is read, so that the
	// connection can be used again.
	refusedBodyTimeout = time.Second
)

// body reads the body of a request. It refuses a body above the size limit, one that arrives too
// slowly, and one for which there is no memory. The memory is released when the request ends.
func (s *Server) body(ctx iris.Context) ([]byte, error) {
	w, r := ctx.ResponseWriter().Naive(), ctx.Request()
	raw, memory, err := s.config.Bodies.Read(w, r, s.config.MaxBody, bodyTimeout, time.Now())
	if err != nil {
		allocator.Refuse(w, err, refusedBodyTimeout, time.Now())
		return nil, bodyRefusal(err)
	}
	if memory != nil {
		context.AfterFunc(r.Context(), memory.Release)
	}
	return raw, nil
}

// bodyRefusal returns the refusal of a request whose body was not read.
func bodyRefusal(err error) *refuser.Refusal {
	var shed *allocator.ShedError
	var oversize *allocator.OversizeError
	switch {
	case errors.As(err, &shed):
		return refuser.New(refuser.Memory, "%w", err).WithRetry(allocator.RetryShed())
	case errors.As(err, &oversize):
		return refuser.New(refuser.Oversize, "%w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuser.New(refuser.Slow, "the body did not come within %s", bodyTimeout)
	default:
		return refuser.New(refuser.Malformed, "the body could not be read: %w", err)
	}
}
