package dialer

import (
	"context"
	"errors"

	"github.com/citronpier/citronpier/connector"
	"github.com/citronpier/citronpier/descriptor"
	"github.com/citronpier/citronpier/messenger"
)

// Peers speaks to other hosts over the network.
type Peers struct{ client *messenger.Client }

// NewPeers returns Peers that show the key that hosts share.
func NewPeers(key string, dial connector.Dial) *Peers {
	return &Peers{client: messenger.NewClient(key, dial)}
}

// Call runs a call at a program's home.
func (p *Peers) Call(ctx context.Context, h descriptor.Host, req *messenger.CallRequest) (connector.Frames, error) {
	s, err := p.client.Call(ctx, h.Peer, req)
	if err != nil {
		return nil, unreached(h, err)
	}
	return s, nil
}

// Dispatch runs an attempt at an upstream's home.
func (p *Peers) Dispatch(ctx context.Context, h descriptor.Host, req *messenger.DispatchRequest) (connector.Frames, error) {
	s, err := p.client.Dispatch(ctx, h.Peer, req)
	if err != nil {
		return nil, unreached(h, err)
	}
	return s, nil
}

// Commands returns a host's commands.
func (p *Peers) Commands(h descriptor.Host) messenger.Commands { return p.client.Commands(h.Peer) }

// Queries returns a host's queries.
func (p *Peers) Queries(h descriptor.Host) messenger.Queries { return p.client.Queries(h.Peer) }

// unreached marks the failure to connect to a host, and the answer of a host
// that read no request, as one in which nothing was done.
func unreached(h descriptor.Host, err error) error {
	var dial *messenger.DialError
	var status *messenger.StatusError
	if errors.As(err, &dial) || errors.As(err, &status) {
		return &connector.UnsentError{Upstream: h.ID, Cause: err}
	}
	return err
}
