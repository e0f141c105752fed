package server

import (
	"crypto/sha256"

	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/messenger"
)

// service answers POST /v1/services/{name}/{path...}.
func (s *Server) service(ctx iris.Context) {
	req, route, err := s.serviceCall(ctx)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	frames, err := s.config.Commands.Call(ctx.Request().Context(), route, req)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	defer func() { _ = frames.Close() }()
	s.whole(ctx, frames)
}

func (s *Server) serviceCall(ctx iris.Context) (*messenger.CallRequest, string, error) {
	o, err := s.organisation(ctx)
	if err != nil {
		return nil, "", err
	}
	raw, err := s.body(ctx)
	if err != nil {
		return nil, "", err
	}
	req := &messenger.CallRequest{Organisation: o.Name}
	if _, err := s.headers(ctx, req); err != nil {
		return nil, "", err
	}
	digest := sha256.Sum256(raw)
	req.Service = ctx.Params().Get("name")
	req.Path = ctx.Params().Get("path")
	req.Type = ctx.GetHeader("Content-Type")
	req.Body = raw
	req.Presented = digest[:]
	return req, identify(req), nil
}
