package descriptor

import (
	"net/http"
	"time"
)

// Request is one request of a caller. A caller that repeats a request makes a new
// attempt, which has an ID of its own.
type Request struct {
	// ID is unique to the attempt. The upstream repeats the ID in its response.
	ID     string
	Method string
	// Host is the host name in the request, without a port.
	Host string
	// Path is the path that determines the route.
	Path string
	// Target is the path and query exactly as the caller sent them.
	Target string
	// Key is the digest of the caller's key. It is the zero value if the request has none.
	Key KeyDigest
	// Header holds the header fields that are sent to the upstream unchanged.
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time

	// Program is the ID of the program that the request belongs to. It is empty if
	// there is none.
	Program string
	// ProgramDeadline is when the whole program should be finished. It is the zero time if the
	// caller does not say.
	ProgramDeadline time.Time
	// Session is the ID of one sequence of turns within the program.
	Session string
	// Budget is the maximum number of tokens that the whole program may generate; 0
	// means no limit.
	Budget int64
	// Previous is the ID of the turn that this request continues. It is empty if the
	// request continues no turn.
	Previous string
	Model    string
	// Prompt is the length of the whole prompt in tokens.
	Prompt int64
	// MaxTokens is the maximum number of tokens that this request may generate.
	MaxTokens int64
	// PromptParts lists the parts of the prompt in order. Parts that other requests share,
	// and that an engine may have cached, come first.
	PromptParts []PromptPart
	// If the caller wants to resume a stream, LastEvent is the ID of the last event
	// of the stream that the caller received. Otherwise it is empty.
	LastEvent string
	// Resumes is the ID of the attempt whose response had the first event of the stream
	// that the caller wants to resume. It is empty if the caller does not name one.
	Resumes string
}

// PromptPart is one part of a prompt. Equal parts of different prompts have the same
// ID; Tokens is the part's length.
type PromptPart struct {
	ID     string
	Tokens int64
}

// WithBody returns a copy of the request with another body.
func (r Request) WithBody(body []byte) Request {
	r.Body = body
	return r
}
