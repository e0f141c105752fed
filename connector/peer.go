package connector

import (
	"context"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
)

// Frames is an open stream of messages from another host.
type Frames interface {
	// Next blocks until the next frame arrives. After an error the stream can't be
	// used any more.
	Next() (*messenger.Frame, error)
	// Close closes the stream and releases its resources.
	Close() error
}

// Peers makes requests to other hosts. A home is the host that owns a program or
// upstream by rendezvous hashing.
type Peers interface {
	// Call runs a call at the home of its program and opens the stream of its frames.
	Call(ctx context.Context, h descriptor.Host, req *messenger.CallRequest) (Frames, error)
	// Dispatch runs one attempt of a call at the home of an upstream and opens the
	// stream of its frames.
	Dispatch(ctx context.Context, h descriptor.Host, req *messenger.DispatchRequest) (Frames, error)
	// Commands returns a client for the host's commands.
	Commands(h descriptor.Host) messenger.Commands
	// Queries returns a client for the host's queries.
	Queries(h descriptor.Host) messenger.Queries
}
