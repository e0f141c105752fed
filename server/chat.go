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
	s.answerWhole(ctx, req, frames)
}

// chatCall returns the call that a chat completion request asks for, and the
// call's route.
func (s *Server) chatCall(ctx iris.Context) (*messenger.CallRequest, string, error) {
	req := &messenger.CallRequest{}
	raw, previous, err := s.readRequest(ctx, req)
	if err != nil {
		return nil, "", err
	}
	if err := parseChatRequest(raw, previous, req); err != nil {
		return nil, "", err
	}
	return req, assignID(req), nil
}

// answerWhole answers a call that is not streamed. It waits for the last frame,
// which holds the complete answer.
func (s *Server) answerWhole(ctx iris.Context, req *messenger.CallRequest, frames frameReader) {
	f, err := lastFrame(frames)
	if err != nil {
		s.refuse(ctx, req.WithUnknownRun(refuser.From(err)))
		return
	}
	switch body := f.GetBody().(type) {
	case *messenger.Frame_Fault:
		answerFault(ctx, body.Fault)
	case *messenger.Frame_Reply:
		answerReply(ctx, body.Reply)
	case *messenger.Frame_End:
		ctx.Header(headerCall, body.End.GetCall())
		ctx.Header(headerToken, body.End.GetToken())
		ctx.ContentType("application/json")
		_, _ = ctx.Write(withExtension(body.End.GetCompletion(), body.End))
	}
}

// answerReply answers with the status, type and body that a plain service sent.
func answerReply(ctx iris.Context, r *messenger.Reply) {
	ctx.Header(headerCall, r.GetCall())
	if r.GetToken() != "" {
		ctx.Header(headerToken, r.GetToken())
	}
	ctx.ContentType(r.GetType())
	ctx.StatusCode(int(r.GetStatus()))
	_, _ = ctx.Write(r.GetBody())
}

// frameReader is the part of connector.Frames that the Server uses.
type frameReader interface {
	Next() (*messenger.Frame, error)
	Close() error
}

// lastFrame skips to the frame that ends a stream and returns it. Its errors
// are refusals.
func lastFrame(frames frameReader) (*messenger.Frame, error) {
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
