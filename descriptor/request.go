package descriptor

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller, whatever its body holds.
type Request struct {
	// ID is the attempt's own id. The upstream echoes it.
	ID     string
	Method string
	// Host is the name that the caller asked, without a port.
	Host string
	// Path selects the route.
	Path string
	// Target is the path and query as the caller sent them.
	Target string
	// Header is what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time

	// Program is empty for a request that belongs to none.
	Program string
	// Session names one line of turns of the program.
	Session string
	// Budget is what the program may generate in all, in tokens; 0 is no bound.
	Budget int64
	// Previous is the turn that this one continues; empty begins a chain.
	Previous string
	Model    string
	// Prompt is the length of the whole prompt, in tokens.
	Prompt int64
	// Most is the most that the request generates, in tokens.
	Most int64
	// Prefix lists the parts of the prompt, the shared ones first.
	Prefix []PromptPart
	// LastEvent is the last event that the caller has of a stream.
	LastEvent string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int64
}

// WithBody returns the request with another body.
func (r Request) WithBody(body []byte) Request {
	r.Body = body
	return r
}
