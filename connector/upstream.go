package connector

import (
	"context"

	"github.com/citronpier/citronpier/descriptor"
)

// ModelRequest is one attempt of a model call.
type ModelRequest struct {
	// Call is the call's id. Each part of the answer must carry it.
	Call string
	// Program owns the memory that the engine holds for the call afterwards.
	Program string
	// Body is the caller's JSON body with the system's fields set.
	Body []byte
	// Priority is lower for work that the engine should serve first.
	Priority int
}

// Part is one event of a model engine's stream.
type Part struct {
	// Position counts the parts of an answer from 0.
	Position int64
	// Data is the JSON chunk as the engine sent it.
	Data []byte
	// Done marks the end of a whole answer; Data is then empty.
	Done bool
}

// Parts is an open stream of a model engine.
type Parts interface {
	// Next returns the next part. After an error the stream is broken.
	Next() (Part, error)
	// Close drops the connection. The engine goes on with the call.
	Close() error
}

// Engine speaks to model engines.
type Engine interface {
	// Start sends a call.
	Start(ctx context.Context, u descriptor.Upstream, req ModelRequest) (Parts, error)
	// Resume opens a new connection to a call that was started.
	Resume(ctx context.Context, u descriptor.Upstream, call string, from int64) (Parts, error)
	// Cancel stops a call.
	Cancel(ctx context.Context, u descriptor.Upstream, call string) error
	// Evict releases the memory that the engine holds for a program.
	Evict(ctx context.Context, u descriptor.Upstream, program string) error
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Call string
	// Key is the caller's idempotency key, if it gave one.
	Key string
	// Fence is the fencing number for upstreams that check it; 0 is none.
	Fence int64
	Path  string
	Type  string
	Body  []byte
}

// ServiceReply is a plain service's answer.
type ServiceReply struct {
	Status int
	Type   string
	Body   []byte
}

// Service speaks to plain services.
type Service interface {
	Do(ctx context.Context, u descriptor.Upstream, req ServiceRequest) (ServiceReply, error)
}

// UnsentError says that a request provably did not reach the upstream.
type UnsentError struct {
	Upstream string
	Cause    error
}

// Error describes the failure.
func (e *UnsentError) Error() string {
	return "upstream " + e.Upstream + " was not reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// GoneError says that an engine does not know the call to be resumed.
type GoneError struct {
	Upstream string
	Call     string
}

// Error describes the failure.
func (e *GoneError) Error() string {
	return "upstream " + e.Upstream + " does not know call " + e.Call
}

// StatusError is an upstream's answer that is not a success.
type StatusError struct {
	Upstream string
	Status   int
	Body     string
}

// Error describes the failure.
func (e *StatusError) Error() string {
	return "upstream " + e.Upstream + " answered " + e.Body
}

// SilentError says that nothing arrived within the progress deadline.
type SilentError struct{ Peer string }

// Error describes the failure.
func (e *SilentError) Error() string { return e.Peer + " made no progress" }
