package dialer

import (
	"context"
	"errors"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
)

// Peers makes requests to other hosts over the network. A home is the host that owns a
// program or upstream by rendezvous hashing.
type Peers struct{ client *messenger.Client }

// NewPeers returns Peers that authenticate with the key that all hosts share.
func NewPeers(key string, dial connector.Dial) *Peers {
	return &Peers{client: messenger.NewClient(key, dial)}
}

// Call runs a call at the home of its program and opens the stream of its frames.
func (p *Peers) Call(ctx context.Context, h descriptor.Host, req *messenger.CallRequest) (connector.Frames, error) {
	s, err := p.client.Call(ctx, h.Peer, req)
	if err != nil {
		return nil, markNotStarted(h, err)
	}
	return s, nil
}

// Dispatch runs one attempt of a call at the home of an upstream and opens the stream of
// its frames.
func (p *Peers) Dispatch(ctx context.Context, h descriptor.Host, req *messenger.DispatchRequest) (connector.Frames, error) {
	s, err := p.client.Dispatch(ctx, h.Peer, req)
	if err != nil {
		return nil, markNotStarted(h, err)
	}
	return s, nil
}

// Commands returns a client for a host's commands.
func (p *Peers) Commands(h descriptor.Host) messenger.Commands { return p.client.Commands(h.Peer) }

// Queries returns a client for a host's queries.
func (p *Peers) Queries(h descriptor.Host) messenger.Queries { return p.client.Queries(h.Peer) }

// markNotStarted wraps an error in an *UnsentError if the host certainly did not start the
// request: the connection attempt failed, or the host has rejected the request. It returns
// other errors unchanged.
func markNotStarted(h descriptor.Host, err error) error {
	var dial *messenger.DialError
	var status *messenger.StatusError
	if errors.As(err, &dial) || (errors.As(err, &status) && status.NotStarted()) {
		return &connector.UnsentError{Upstream: h.ID, Cause: err}
	}
	return err
}
