package connector

import (
	"context"

	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
)

// Frames is an open stream from another host.
type Frames interface {
	// Next returns the next frame. After an error the stream is broken.
	Next() (*messenger.Frame, error)
	Close() error
}

// Peers speaks to other hosts.
type Peers interface {
	// Call runs a call at a program's home.
	Call(ctx context.Context, h descriptor.Host, req *messenger.CallRequest) (Frames, error)
	// Dispatch runs an attempt at an upstream's home.
	Dispatch(ctx context.Context, h descriptor.Host, req *messenger.DispatchRequest) (Frames, error)
	// Commands returns the host's commands.
	Commands(h descriptor.Host) messenger.Commands
	// Queries returns the host's queries.
	Queries(h descriptor.Host) messenger.Queries
}
