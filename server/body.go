package server

import (
	"context"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/allocator"
)

// body reads the body of a request. It refuses a body above the size limit, one that arrives too
// slowly, and one for which there is no memory. The memory is released when the request ends.
func (s *Server) body(ctx iris.Context) ([]byte, error) {
	w, r := ctx.ResponseWriter().Naive(), ctx.Request()
	raw, memory, err := s.config.Bodies.Read(w, r, s.config.MaxBody, allocator.BodyTimeout, time.Now())
	if err != nil {
		allocator.Refuse(w, err, allocator.RefusedBodyTimeout, time.Now())
		return nil, allocator.Refusal(err)
	}
	if memory != nil {
		context.AfterFunc(r.Context(), memory.Release)
	}
	return raw, nil
}
