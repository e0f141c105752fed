package server

import (
	"crypto/rand"
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

	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// bytesPerToken is the assumed length of a model token in the JSON text of a
	// prompt. It is used to estimate the number of model tokens.
	bytesPerToken = 4
)

// bearer returns the key of an Authorization header of the form "Bearer KEY".
func bearer(header string) (string, bool) {
	scheme, key, found := strings.Cut(header, " ")
	return strings.TrimSpace(key), found && strings.EqualFold(scheme, "bearer") && strings.TrimSpace(key) != ""
}

// readRequest authenticates a request and sets the fields of req that come from
// the headers. It returns the body and the signed token of the program's previous
// call. The token is nil if the request carries none.
func (s *Server) readRequest(ctx iris.Context, req *messenger.CallRequest) (raw []byte, previous *recorder.Token, err error) {
	o, err := s.organisation(ctx)
	if err != nil {
		return nil, nil, err
	}
	req.Organisation = o.Name
	if raw, err = s.body(ctx); err != nil {
		return nil, nil, err
	}
	previous, err = s.parseHeaders(ctx, req)
	return raw, previous, err
}

// parseHeaders sets the fields of a call that come from the request's headers,
// and returns the signed token of the program's previous call, or nil if there is
// none.
func (s *Server) parseHeaders(ctx iris.Context, req *messenger.CallRequest) (previous *recorder.Token, err error) {
	req.Program = ctx.GetHeader(headerProgram)
	req.Token = ctx.GetHeader(headerToken)
	req.Key = ctx.GetHeader(headerKey)
	req.Kind = ctx.GetHeader(headerKind)
	req.Parents = splitList(ctx.GetHeader(headerParents))
	req.First = ctx.GetHeader(headerAttempt) == "1"
	if len(req.Key) > maxKeyBytes {
		return nil, refuser.New(refuser.Header, "%s is longer than %d bytes", headerKey, maxKeyBytes)
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
	if previous, err = s.openTokens(req); err != nil {
		return nil, err
	}
	if previous != nil {
		req.Program = previous.GetProgram()
	}
	return previous, nil
}

// splitList splits a list at its commas. It trims the elements and drops empty
// elements.
func splitList(list string) []string {
	var parts []string
	for _, p := range strings.Split(list, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

// openTokens checks the signed tokens that a request carries and returns the
// token of the program's previous call. It returns nil if the request carries no
// token.
func (s *Server) openTokens(req *messenger.CallRequest) (*recorder.Token, error) {
	texts := req.GetParents()
	if req.GetToken() != "" {
		texts = append([]string{req.GetToken()}, texts...)
	}
	if len(texts) == 0 {
		return nil, nil
	}
	return s.config.Signer.Follow(texts, req.GetOrganisation(), req.GetProgram())
}

// assignID sets the call's ID and returns its route. The ID contains the route,
// so that a later request to cancel the call can be sent to the call's home.
func assignID(req *messenger.CallRequest) (route string) {
	random := rand.Text()
	key := "call/" + random
	switch {
	case req.GetProgram() != "":
		key = req.GetProgram()
	case req.GetKey() != "":
		key = req.GetOrganisation() + "/" + req.GetKey()
	}
	route = locator.KeyHash(key)
	req.Call = callPrefix + route + random
	return route
}

const (
	callPrefix  = "call-"
	routeLength = 16
)

// routeOf returns the route that the ID of a call contains, and false if the ID
// is not of the form that assignID gives.
func routeOf(call string) (string, bool) {
	rest, ok := strings.CutPrefix(call, callPrefix)
	if !ok || len(rest) <= routeLength {
		return "", false
	}
	return rest[:routeLength], true
}

// parseChatRequest checks the body of a chat completion request and sets the
// fields of the call that come from it.
func parseChatRequest(raw []byte, previous *recorder.Token, req *messenger.CallRequest) error {
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
	req.Preceding = history.CoveredDigest[:]
	req.Presented = history.FullDigest[:]
	req.Messages = history.Count
	req.Prompt = int64(len(messages.Raw) / bytesPerToken)
	return nil
}

// maxTokens returns the caller's limit on the length of the answer, in tokens;
// 0 means no limit.
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
