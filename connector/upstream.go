package connector

import (
	"context"

	"github.com/citronpier/citronpier/descriptor"
)

// ModelRequest is one attempt of a call to a model engine.
type ModelRequest struct {
	// Call is the call's ID. Each chunk of the response must contain it.
	Call string
	// Program is the ID of the call's program. After the call, the engine retains memory
	// (its key-value cache) for the program until Evict is called.
	Program string
	// Body is the caller's JSON body, including the fields that the system sets.
	Body []byte
	// Priority orders the calls at the engine: lower values are served first.
	Priority int
}

// Chunk is one event of a model engine's stream.
type Chunk struct {
	// Position is the number of the chunk within the response, from 0.
	Position int64
	// Data is the event's JSON, unchanged.
	Data []byte
	// Done marks the end of a complete response. Data is empty then.
	Done bool
}

// Chunks is the open response stream of a model engine.
type Chunks interface {
	// Next blocks until the next chunk arrives. After an error the stream can't be used
	// any more.
	Next() (Chunk, error)
	// Close closes the connection. The engine continues the call.
	Close() error
}

// Engine makes requests to model engines.
type Engine interface {
	// Start sends a call and opens its response stream.
	Start(ctx context.Context, u descriptor.Upstream, req ModelRequest) (Chunks, error)
	// Resume opens a new connection to a call that was started before. The stream
	// begins at the position from. Resume returns an *UnknownCallError if the engine
	// does not know the call.
	Resume(ctx context.Context, u descriptor.Upstream, call string, from int64) (Chunks, error)
	// Cancel makes the engine stop a call.
	Cancel(ctx context.Context, u descriptor.Upstream, call string) error
	// Evict makes the engine release the memory that it retains for a program.
	Evict(ctx context.Context, u descriptor.Upstream, program string) error
}

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	// Call is the call's ID.
	Call string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Fence is the fencing token for services that check it; 0 means none.
	Fence int64
	// Path is the path of the request, with or without a leading slash.
	Path string
	// Type is the content type of Body, or empty.
	Type string
	Body []byte
}

// ServiceReply is a plain service's response.
type ServiceReply struct {
	// Status is the HTTP status.
	Status int
	// Type is the content type of Body, or empty.
	Type string
	Body []byte
}

// Service makes calls to plain services.
type Service interface {
	// Do runs one call and reads the complete response, whatever its status. An
	// *UnsentError means that the call did not run. After any other error, the call may
	// have run.
	Do(ctx context.Context, u descriptor.Upstream, req ServiceRequest) (ServiceReply, error)
}

// UnsentError reports that a request certainly did not reach the upstream or host, so
// that it can be sent again safely.
type UnsentError struct {
	Upstream string
	Cause    error
}

// Error names the upstream and the cause.
func (e *UnsentError) Error() string {
	return "upstream " + e.Upstream + " could not be reached: " + e.Cause.Error()
}

// Unwrap returns the error that occurred before the request was sent.
func (e *UnsentError) Unwrap() error { return e.Cause }

// UnknownCallError reports that an engine does not know a call, for example because the
// engine has restarted since the call began.
type UnknownCallError struct {
	Upstream string
	Call     string
}

// Error names the upstream and the call.
func (e *UnknownCallError) Error() string {
	return "upstream " + e.Upstream + " does not know call " + e.Call
}

// StatusError reports that an upstream responded with an error status. Body is the
// beginning of the response's body.
type StatusError struct {
	Upstream string
	Status   int
	Body     string
}

// Error names the upstream and states the body.
func (e *StatusError) Error() string {
	return "upstream " + e.Upstream + " responded with an error: " + e.Body
}

// ProgressTimeoutError reports that nothing arrived from a peer for longer than the
// progress timeout. Whether the peer is still running the request is unknown.
type ProgressTimeoutError struct{ Peer string }

// Error names the peer.
func (e *ProgressTimeoutError) Error() string {
	return e.Peer + " sent nothing within the progress timeout"
}
