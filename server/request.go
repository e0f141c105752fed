package server

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/tidwall/gjson"

	"github.com/citronpier/citronpier/locator"
	"github.com/citronpier/citronpier/messenger"
	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/sequencer"
)

const (
	headerProgram = "Citronpier-Program"
	headerToken   = "Citronpier-Token"
	headerParents = "Citronpier-Parents"
	headerKind    = "Citronpier-Kind"
	headerCall    = "Citronpier-Call"
	headerAttempt = "Citronpier-Attempt"
	headerKey     = "Idempotency-Key"
	headerFrom    = "Last-Event-ID"

	// maxKey bounds an idempotency key, in bytes.
	maxKey = 256
	// bytesPerToken estimates the length of a prompt.
	bytesPerToken = 4
)

func bearer(header string) (string, bool) {
	scheme, key, found := strings.Cut(header, " ")
	return strings.TrimSpace(key), found && strings.EqualFold(scheme, "bearer") && strings.TrimSpace(key) != ""
}

// body reads a request body within the size limit.
func (s *Server) body(ctx iris.Context) ([]byte, error) {
	reader := http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, s.config.MaxBody)
	raw, err := io.ReadAll(reader)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refuser.New(refuser.Oversize, "the body is larger than %d bytes", s.config.MaxBody)
	case err != nil:
		return nil, refuser.New(refuser.Malformed, "the body could not be read: %w", err)
	}
	return raw, nil
}

// accept checks who sends a request and returns its body and the token of the
// call that it follows, nil where there is none.
func (s *Server) accept(ctx iris.Context, req *messenger.CallRequest) (raw []byte, previous *recorder.Token, err error) {
	o, err := s.organisation(ctx)
	if err != nil {
		return nil, nil, err
	}
	req.Organisation = o.Name
	if raw, err = s.body(ctx); err != nil {
		return nil, nil, err
	}
	previous, err = s.headers(ctx, req)
	return raw, previous, err
}

// headers sets what a request's headers say of a call.
func (s *Server) headers(ctx iris.Context, req *messenger.CallRequest) (previous *recorder.Token, err error) {
	req.Program = ctx.GetHeader(headerProgram)
	req.Token = ctx.GetHeader(headerToken)
	req.Key = ctx.GetHeader(headerKey)
	req.Kind = ctx.GetHeader(headerKind)
	req.Parents = split(ctx.GetHeader(headerParents))
	req.First = ctx.GetHeader(headerAttempt) == "1"
	if len(req.Key) > maxKey {
		return nil, refuser.New(refuser.Header, "%s is longer than %d bytes", headerKey, maxKey)
	}
	if attempt := ctx.GetHeader(headerAttempt); attempt != "" {
		if n, err := strconv.Atoi(attempt); err != nil || n < 1 {
			return nil, refuser.New(refuser.Header, "%s must be a number from 1 on", headerAttempt)
		}
	}
	if from := ctx.GetHeader(headerFrom); from != "" {
		n, err := strconv.ParseInt(from, 10, 64)
		if err != nil || n < 0 {
			return nil, refuser.New(refuser.Header, "%s must be the number of an event", headerFrom)
		}
		req.From = n + 1
	}
	if previous, err = s.previous(req); err != nil {
		return nil, err
	}
	if previous != nil {
		req.Program = previous.GetProgram()
	}
	return previous, nil
}

func split(list string) []string {
	var parts []string
	for _, p := range strings.Split(list, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

// previous opens the token of the call that the request follows.
func (s *Server) previous(req *messenger.CallRequest) (*recorder.Token, error) {
	texts := req.GetParents()
	if req.GetToken() != "" {
		texts = append([]string{req.GetToken()}, texts...)
	}
	if len(texts) == 0 {
		return nil, nil
	}
	return s.config.Signer.Follow(texts, req.GetOrganisation(), req.GetProgram())
}

// identify gives the call its id, which carries the route to its home.
func identify(req *messenger.CallRequest) (route string) {
	random := rand.Text()
	key := "call/" + random
	switch {
	case req.GetProgram() != "":
		key = req.GetProgram()
	case req.GetKey() != "":
		key = req.GetOrganisation() + "/" + req.GetKey()
	}
	route = locator.Route(key)
	req.Call = callPrefix + route + random
	return route
}

const (
	callPrefix  = "call-"
	routeLength = 16
)

// routeOf returns the route that a call id carries.
func routeOf(call string) (string, bool) {
	rest, ok := strings.CutPrefix(call, callPrefix)
	if !ok || len(rest) <= routeLength {
		return "", false
	}
	return rest[:routeLength], true
}

// chatRequest checks a chat completion's body and sets what it says of a call.
func chatRequest(raw []byte, previous *recorder.Token, req *messenger.CallRequest) error {
	if !gjson.ValidBytes(raw) {
		return refuser.New(refuser.Malformed, "the body is not valid JSON")
	}
	body := gjson.ParseBytes(raw)
	messages := body.Get("messages")
	switch {
	case !body.IsObject():
		return refuser.New(refuser.Malformed, "the body is not a JSON object")
	case body.Get("model").Type != gjson.String || body.Get("model").String() == "":
		return refuser.New(refuser.Malformed, "the body names no model")
	case !messages.IsArray() || len(messages.Raw) <= len("[]"):
		return refuser.New(refuser.Malformed, "the body has no messages")
	case body.Get("n").Exists() && body.Get("n").Int() != 1:
		return refuser.New(refuser.Malformed, "n must be 1: a program has one history")
	}
	tokens, err := maxTokens(body)
	if err != nil {
		return err
	}
	history := sequencer.Chain(messages, previous.GetMessages())
	req.Model = body.Get("model").String()
	req.Stream = body.Get("stream").Bool()
	req.MaxTokens = tokens
	req.Body = raw
	req.Preceding = history.Preceding[:]
	req.Presented = history.Presented[:]
	req.Messages = history.Count
	req.Prompt = int64(len(messages.Raw) / bytesPerToken)
	return nil
}

// maxTokens returns the caller's limit on the answer's length; 0 is none.
func maxTokens(body gjson.Result) (int64, error) {
	for _, name := range []string{"max_completion_tokens", "max_tokens"} {
		field := body.Get(name)
		if !field.Exists() || field.Type == gjson.Null {
			continue
		}
		if field.Type != gjson.Number || field.Int() < 1 {
			return 0, refuser.New(refuser.Malformed, "%s must be a number from 1 on", name)
		}
		return field.Int(), nil
	}
	return 0, nil
}
