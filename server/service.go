package server

import (
	"crypto/sha256"

	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// service answers POST /v1/services/{name}/{path...}.
func (s *Server) service(ctx iris.Context) {
	req := &messenger.CallRequest{
		Service: ctx.Params().Get("name"),
		Key:     ctx.GetHeader(headerKey),
		First:   ctx.GetHeader(headerAttempt) == "1",
	}
	route, err := s.serviceCall(ctx, req)
	if err != nil {
		s.refuse(ctx, req.WithUnknownRun(refuser.From(err)))
		return
	}
	frames, err := s.config.Commands.Call(ctx.Request().Context(), route, req)
	if err != nil {
		s.refuse(ctx, req.WithUnknownRun(refuser.From(err)))
		return
	}
	defer func() { _ = frames.Close() }()
	s.answerWhole(ctx, req, frames)
}

// serviceCall sets the fields of a call to a plain service and returns the
// call's route.
func (s *Server) serviceCall(ctx iris.Context, req *messenger.CallRequest) (route string, err error) {
	raw, _, err := s.readRequest(ctx, req)
	if err != nil {
		return "", err
	}
	digest := sha256.Sum256(raw)
	req.Path = ctx.Params().Get("path")
	req.Type = ctx.GetHeader("Content-Type")
	req.Body = raw
	req.Presented = digest[:]
	return assignID(req), nil
}
