package server

import (
	"github.com/kataras/iris/v12"

	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/refuser"
)

// chat answers POST /v1/chat/completions.
func (s *Server) chat(ctx iris.Context) {
	req, route, err := s.chatCall(ctx)
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
	ctx.Header(headerCall, req.GetCall())
	if req.GetStream() {
		s.stream(ctx, req, frames)
		return
	}
	s.whole(ctx, req, frames)
}

func (s *Server) chatCall(ctx iris.Context) (*messenger.CallRequest, string, error) {
	req := &messenger.CallRequest{}
	raw, previous, err := s.accept(ctx, req)
	if err != nil {
		return nil, "", err
	}
	if err := chatRequest(raw, previous, req); err != nil {
		return nil, "", err
	}
	return req, identify(req), nil
}

// whole answers a call that is not streamed.
func (s *Server) whole(ctx iris.Context, req *messenger.CallRequest, frames frameReader) {
	f, err := last(frames)
	if err != nil {
		s.refuse(ctx, req.Unproved(refuser.From(err)))
		return
	}
	switch body := f.GetBody().(type) {
	case *messenger.Frame_Fault:
		pass(ctx, body.Fault)
	case *messenger.Frame_Reply:
		answerReply(ctx, body.Reply)
	case *messenger.Frame_End:
		ctx.Header(headerCall, body.End.GetCall())
		ctx.Header(headerToken, body.End.GetToken())
		ctx.ContentType("application/json")
		_, _ = ctx.Write(extended(body.End.GetCompletion(), body.End))
	}
}

func answerReply(ctx iris.Context, r *messenger.Reply) {
	ctx.Header(headerCall, r.GetCall())
	if r.GetToken() != "" {
		ctx.Header(headerToken, r.GetToken())
	}
	ctx.ContentType(r.GetType())
	ctx.StatusCode(int(r.GetStatus()))
	_, _ = ctx.Write(r.GetBody())
}

type frameReader interface {
	Next() (*messenger.Frame, error)
	Close() error
}

// last returns the frame that ends a stream.
func last(frames frameReader) (*messenger.Frame, error) {
	for {
		f, err := frames.Next()
		if err != nil {
			return nil, refuser.From(err)
		}
		if f.Last() {
			return f, nil
		}
	}
}
