package connector

import (
	"context"

	"github.com/citronpier/citronpier/descriptor"
)

// List is the platform's lagging list of hosts and upstreams.
type List interface {
	// Members returns the list as the platform knows it.
	Members(ctx context.Context) (descriptor.Members, error)
	// Announce tells the platform that a host is live or leaving.
	Announce(ctx context.Context, host descriptor.Host) error
}
